import * as childProcess from "node:child_process";
import * as util from "node:util";

const execFile = util.promisify(childProcess.execFile);
const BINARY = "dist/hoistscale";

/** JSON output of the command line for an accepted change. */
export interface AcceptedChange {
  readonly revision: number;
  readonly isInForce: boolean;
}

/** An operator that uses the command line. */
export class DemoOperator {
  /** Administration APIs, used in turn. */
  readonly #baseUrls: readonly string[];
  readonly #token: string;
  #attemptCount = 0;

  constructor(baseUrls: readonly string[], token: string) {
    this.#baseUrls = baseUrls;
    this.#token = token;
  }

  /**
   * Sends a change, and retries it at another box after a failure. Retries use
   * the same request id and revision, so the change is applied at most once.
   *
   * @param args The command, without address and token.
   * @param requestId Id that identifies resends of the change.
   * @param revision Revision that the change is based on.
   * @returns The accepted change.
   * @throws {Error} If every attempt failed.
   */
  async sendChange(
    args: readonly string[],
    requestId: string,
    revision: number,
  ): Promise<AcceptedChange> {
    const options = ["--request-id", requestId, "--revision", String(revision)];
    return await this.runCommand([...args, ...options]) as AcceptedChange;
  }

  /**
   * Runs an idempotent command, and retries it at another box after a failure.
   *
   * @param args The command, without address and token.
   * @returns The command's JSON output.
   * @throws {Error} If every attempt failed.
   */
  async runCommand(args: readonly string[]): Promise<unknown> {
    const errors: unknown[] = [];
    for (let attempt = 0; attempt < this.#baseUrls.length * 2; attempt += 1) {
      try {
        return JSON.parse(await this.#runOnce(args));
      } catch (error) {
        errors.push(error);
      }
    }
    throw new Error(
      `Cannot run the command on any box: ${errors.map(String).join("; ")}`,
    );
  }

  async #runOnce(args: readonly string[]): Promise<string> {
    const admin = this.#baseUrls[this.#attemptCount % this.#baseUrls.length] ??
      "";
    this.#attemptCount += 1;
    const done = await execFile(BINARY, [
      ...args,
      "--json",
      "--admin",
      admin,
      "--token",
      this.#token,
    ]);
    return done.stdout;
  }
}
