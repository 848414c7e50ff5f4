import * as childProcess from "node:child_process";
import * as util from "node:util";

const execFile = util.promisify(childProcess.execFile);
const BINARY = "dist/hoistscale";

/** The answer of the command line to an accepted change. */
export interface AcceptedChange {
  readonly revision: number;
  readonly isInForce: boolean;
}

/** An operator at the command line. */
export class DemoOperator {
  readonly #baseUrls: readonly string[];
  readonly #token: string;
  #attemptCount = 0;

  constructor(baseUrls: readonly string[], token: string) {
    this.#baseUrls = baseUrls;
    this.#token = token;
  }

  /**
   * Runs a change, asking another box when one does not answer. Request id
   * and revision stay the same, so that a resend is never a second change.
   *
   * @param args The command, without address and token.
   * @param requestId Marks a resend.
   * @param revision The revision that the change is made against.
   * @returns What was accepted.
   * @throws When no box accepted it in time.
   */
  async sendChange(
    args: readonly string[],
    requestId: string,
    revision: number,
  ): Promise<AcceptedChange> {
    const options = ["--request-id", requestId, "--revision", String(revision)];
    return await this.runCommand([...args, ...options]) as AcceptedChange;
  }

  /** Runs a command that may be sent again and gives its JSON. */
  async runCommand(args: readonly string[]): Promise<unknown> {
    const errors: unknown[] = [];
    for (let attempt = 0; attempt < this.#baseUrls.length * 2; attempt += 1) {
      try {
        return JSON.parse(await this.#runOnce(args));
      } catch (error) {
        errors.push(error);
      }
    }
    throw new Error(`Cannot ask the boxes: ${errors.map(String).join("; ")}`);
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
