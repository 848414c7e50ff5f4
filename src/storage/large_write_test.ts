import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";

/*
 * All records of a write are encoded as one text, which in the heap takes as much
 * again as the commands, twice for most scripts, where a text of one record each did.
 * A store with 140 MB of heap, 90 MB of them in use, ran out of memory ("Reached
 * heap limit Allocation failed") at a write of 156 records of 98 KB of Chinese
 * text, which wait together while a sync takes long; written one by one they fit.
 */

const HEAP_MB = 140;
const CHILD_TIMEOUT_MS = 60_000;
const MODULE = path.resolve("src/storage/durable_log.ts");

function createProgram(folder: string): string {
  return `
    const { DurableLog } = await import(${JSON.stringify(MODULE)});
    const { log } = await DurableLog.open(${JSON.stringify(folder)}, "box-1");
    const copy = (value) => JSON.parse(JSON.stringify(value));
    const held = Array.from({ length: 90 }, (_, at) =>
      copy("k".repeat(1024 * 1024) + at));
    const records = Array.from({ length: 156 }, (_, at) =>
      copy({ at, text: "\\u5b57".repeat(98 * 1024) + at }));
    await log.append(records);
    await log.close();
    console.log("written", held.length);
  `;
}

describe("a write of many large records", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-write-"));

  after(() => fs.rmSync(folder, { recursive: true, force: true }));

  it("takes little more memory than the records themselves", () => {
    const child = childProcess.spawnSync(
      process.execPath,
      [
        `--max-old-space-size=${HEAP_MB}`,
        "--max-semi-space-size=4",
        "--import=tsx",
        "--input-type=module",
        "--eval",
        createProgram(folder),
      ],
      { encoding: "utf8", timeout: CHILD_TIMEOUT_MS },
    );
    const heapError = child.stderr.split("\n").find((line) =>
      line.includes("FATAL ERROR")
    );
    chai.expect(child.stdout.trim(), heapError).to.equal("written 90");
  });
});
