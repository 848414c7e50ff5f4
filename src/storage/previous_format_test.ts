import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as durableLogs from "./durable_log.ts";
import * as readRecords from "./_read_records.ts";
import * as records from "./record.ts";

/*
 * A log file of the former format, in which each record stands by itself, is gone on
 * with in the present one, all records of a write as one list, and goes on
 * saying that it has the former format until the next snapshot. A process of the
 * former version, as when boxes are set back to it, opens the file, takes each
 * list for one record of a kind that it does not know and passes it over: votes
 * and entries that were confirmed are gone, and nothing tells so.
 */

const PREVIOUS_FORMAT = 2;

function encode(value: unknown): Buffer {
  return records.encodeRecord(Buffer.from(JSON.stringify(value)));
}

describe("a log file of the former format", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-former-"));

  after(() => fs.rmSync(folder, { recursive: true, force: true }));

  it("holds no list of records while it names the former format", async () => {
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
    const message = `format ${format}, a list of records: ${hasBatch}`;
    chai.expect(format === PREVIOUS_FORMAT && hasBatch, message).to.equal(
      false,
    );
  });
});
