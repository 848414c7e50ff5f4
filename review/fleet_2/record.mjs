/** The record of a case, and its exit codes. */
import * as fs from "node:fs";

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Longest time of a case, in ms; below the two minutes that it may take. */
const MAX_CASE_MS = 112_000;

export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export class CaseRecord {
  /** @param file Path of the record; an earlier one is replaced. */
  constructor(file) {
    this.file = file;
    this.startedAt = Date.now();
    fs.writeFileSync(this.file, `trouble: ${HAS_TROUBLE}\n`);
  }

  write(text) {
    const atMs = String(Date.now() - this.startedAt).padStart(6);
    fs.appendFileSync(this.file, `${atMs} ms  ${text}\n`);
  }
}

/**
 * Runs a case and ends this process with its exit code. All processes of `fleet` and
 * all servers that the case registered are ended first.
 */
export async function runCase(file, fleet, body) {
  const record = new CaseRecord(file);
  const servers = [];
  let code = NOT_RUN;
  const timer = setTimeout(() => {
    record.write("the case took too long");
    void end();
  }, MAX_CASE_MS);
  async function end() {
    clearTimeout(timer);
    await Promise.all(servers.map((server) => server.stop()));
    await fleet.stopAll();
    const ends = fleet.unexpected.map(({ box, code: exit, signal }) =>
      `${box} (${exit ?? signal})`
    );
    record.write(`processes that ended by themselves: ${ends.join(", ") || "none"}`);
    record.write(`exit code: ${code}`);
    if (process.env.KEEP === undefined) fleet.remove();
    else record.write(`folder: ${fleet.folder}`);
    process.exit(code);
  }
  for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => void end());
  try {
    code = await body(record, servers);
  } catch (error) {
    record.write(`could not run: ${error.stack ?? error}`);
  }
  await end();
}
