import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

/** How a process ended. */
export interface ChildEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Options of a child process. */
export interface ChildOptions {
  /** Name of the process and of its log file. */
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  readonly logFolder: string;
}

// Every child adds an exit listener.
process.setMaxListeners(0);

/**
 * A child process with its output in a log file. It is killed when this process
 * exits.
 */
export class Child {
  readonly name: string;
  readonly ended: Promise<ChildEnd>;
  readonly #process: childProcess.ChildProcess;
  #end: ChildEnd | undefined;

  constructor(options: ChildOptions) {
    this.name = options.name;
    fs.mkdirSync(options.logFolder, { recursive: true });
    const log = fs.openSync(
      path.join(options.logFolder, `${options.name}.log`),
      "a",
    );
    this.#process = childProcess.spawn(options.command, options.args, {
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    process.once("exit", () => this.kill("SIGKILL"));
    this.ended = new Promise((resolve) => {
      this.#process.once("exit", (code, signal) => {
        this.#end = { code, signal };
        resolve(this.#end);
      });
    });
  }

  getPid(): number {
    return this.#process.pid ?? 0;
  }

  /** Returns how the process ended; undefined while it runs. */
  getEnd(): ChildEnd | undefined {
    return this.#end;
  }

  /** Sends a signal if the process still runs. */
  kill(signal: NodeJS.Signals): void {
    if (this.#end === undefined) this.#process.kill(signal);
  }
}

/** Kills all children and waits until they have ended. */
export async function stopChildren(children: readonly Child[]): Promise<void> {
  for (const child of children) child.kill("SIGKILL");
  await Promise.all(children.map((child) => child.ended));
}
