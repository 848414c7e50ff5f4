import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as durableLogs from "./durable_log.ts";
import * as readRecords from "./_read_records.ts";
import * as records from "./record.ts";

/*
 * Guards against batches in a file whose header names the previous format: after
 * a rollback, a release that doesn't know batches would silently ignore the
 * acknowledged records in them.
 */

const PREVIOUS_FORMAT = 2;

function encode(value: unknown): Buffer {
  return records.encodeRecord(Buffer.from(JSON.stringify(value)));
}

describe("log file of the previous format", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-format-"));

  after(() => fs.rmSync(folder, { recursive: true, force: true }));

  it("receives no batch while its header names the previous format", async () => {
    const file = path.join(folder, "log.0");
    const header = { format: PREVIOUS_FORMAT, owner: "box-1" };
    fs.writeFileSync(file, Buffer.concat([header, { index: 0 }].map(encode)));
    const { log } = await durableLogs.DurableLog.open(folder, "box-1");
    await log.append([{ index: 1 }, { index: 2 }]);
    await log.close();
    const newest =
      fs.readdirSync(folder).filter((name) => name.startsWith("log."))
        .toSorted().at(-1) ?? "";
    const values: unknown[] = [];
    readRecords.readRecords(
      path.join(folder, newest),
      (payload) => values.push(JSON.parse(payload.toString("utf8"))),
    );
    const { format } = values[0] as { readonly format: number };
    const hasBatch = values.some((value) => Array.isArray(value));
    const message = `format ${format}, has a batch: ${hasBatch}`;
    chai.expect(format === PREVIOUS_FORMAT && hasBatch, message).to.equal(
      false,
    );
  });
});
