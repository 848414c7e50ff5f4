import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as results from "../results/mod.ts";
import * as durableLogs from "./durable_log.ts";

async function getFailedCode(action: () => Promise<unknown>): Promise<string> {
  try {
    await action();
    return "none";
  } catch (error) {
    return results.toFailure(error).code;
  }
}

describe("storage", () => {
  let folder = "";

  beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-storage-"));
  });

  afterEach(() => {
    fs.rmSync(folder, { recursive: true, force: true });
  });

  async function writeRecords(count: number): Promise<string> {
    const { log } = await durableLogs.DurableLog.open(folder, "box-1");
    for (let index = 0; index < count; index += 1) {
      await log.append([{ index }]);
    }
    await log.close();
    return path.join(folder, "log.0");
  }

  it("cuts a torn tail at any byte and keeps all whole records", async () => {
    const file = await writeRecords(3);
    const bytes = fs.readFileSync(file);
    const lastRecordOffset = fs.readFileSync(file).lastIndexOf("HSL1");
    for (
      let length = lastRecordOffset + 1; length < bytes.length; length += 1
    ) {
      fs.writeFileSync(file, bytes.subarray(0, length));
      const { log, loaded } = await durableLogs.DurableLog.open(
        folder,
        "box-1",
      );
      await log.close();
      chai.expect(loaded.records).to.deep.equal([{ index: 0 }, { index: 1 }]);
      chai.expect(loaded.tornBytes).to.equal(length - lastRecordOffset);
    }
  });

  it("refuses damage with whole records after it", async () => {
    const file = await writeRecords(3);
    const bytes = fs.readFileSync(file);
    const second = bytes.indexOf("HSL1", 4);
    for (let at = second; at < second + 16; at += 1) {
      const damaged = Buffer.from(bytes);
      damaged.writeUInt8(damaged.readUInt8(at) ^ 0x55, at);
      fs.writeFileSync(file, damaged);
      chai.expect(
        await getFailedCode(() => durableLogs.DurableLog.open(folder, "box-1")),
      ).to.equal("corruptLog");
    }
  });

  // A box that lost power while it wrote several records at once would not start
  // again: the pages of one write reach the disk in any order, so the first record
  // was missing and a later one whole, which looks like damage of what was synced
  // ("log.0 is damaged at byte 58 and has whole records after it"). Such a box is
  // lost with all that its disk holds, though nothing of that write was confirmed.
  it("cuts a write whose pages reached the disk in part, in any order", async () => {
    const file = await writeRecords(2);
    const before = fs.statSync(file).size;
    const { log } = await durableLogs.DurableLog.open(folder, "box-1");
    const long = "x".repeat(600_000);
    await log.append([{ index: 2 }, { index: 3, long }, { index: 4 }]);
    await log.close();
    const intact = fs.readFileSync(file);
    const lastOffset = intact.length - 1;
    for (const at of [before, before + 20, before + 300_000, lastOffset]) {
      const torn = Buffer.from(intact);
      torn.fill(0, at, Math.min(at + 4_096, intact.length));
      fs.writeFileSync(file, torn);
      const { log: reopened, loaded } = await durableLogs.DurableLog.open(
        folder,
        "box-1",
      );
      await reopened.close();
      chai.expect(loaded.records).to.deep.equal([{ index: 0 }, { index: 1 }]);
      chai.expect(loaded.tornBytes).to.equal(intact.length - before);
    }
  });

  it("refuses the folder of another box", async () => {
    await writeRecords(1);
    chai.expect(
      await getFailedCode(() => durableLogs.DurableLog.open(folder, "box-2")),
    ).to.equal("wrongFolder");
  });

  it("reads the snapshot and what follows it, whatever a crash left of the next one", async () => {
    const { log } = await durableLogs.DurableLog.open(folder, "box-1");
    await log.append([{ index: 0 }]);
    await log.compact({ head: { state: 7 }, parts: [1, 2] }, [{ index: 1 }]);
    await log.append([{ index: 2 }]);
    await log.close();
    fs.writeFileSync(path.join(folder, "log.2"), "half a file");
    fs.writeFileSync(path.join(folder, "snapshot.draft"), "half a file");
    const { log: reopened, loaded } = await durableLogs.DurableLog.open(
      folder,
      "box-1",
    );
    await reopened.compact({ head: { state: 8 }, parts: [] }, []);
    await reopened.close();
    chai.expect(loaded.snapshot).to.deep.equal({
      head: { state: 7 },
      parts: [1, 2],
    });
    chai.expect(loaded.records).to.deep.equal([{ index: 1 }, { index: 2 }]);
    const { log: last, loaded: compacted } = await durableLogs.DurableLog.open(
      folder,
      "box-1",
    );
    await last.close();
    chai.expect(compacted.snapshot).to.deep.equal({
      head: { state: 8 },
      parts: [],
    });
  });

  it("takes records while a snapshot is written, and reads files larger than a chunk", async () => {
    const { log } = await durableLogs.DurableLog.open(folder, "box-1");
    const long = "x".repeat(700_000);
    await log.append([{ index: 0, long }, { index: 1, long }]);
    const writing = log.writeSnapshotDraft({
      head: 1,
      parts: [long, long, long],
    });
    await log.append([{ index: 2, long }]);
    await writing;
    await log.installSnapshotDraft([{ index: 2, long }]);
    await log.append([{ index: 3, long }]);
    await log.close();
    const { log: reopened, loaded } = await durableLogs.DurableLog.open(
      folder,
      "box-1",
    );
    await reopened.close();
    chai.expect(loaded.snapshot).to.deep.equal({
      head: 1,
      parts: [long, long, long],
    });
    chai.expect(loaded.records).to.deep.equal([
      { index: 2, long },
      { index: 3, long },
    ]);
  });

  it("refuses a snapshot that lacks parts", async () => {
    const { log } = await durableLogs.DurableLog.open(folder, "box-1");
    await log.compact({ head: 1, parts: ["a", "b"] }, []);
    await log.close();
    const file = path.join(folder, "snapshot.1");
    const bytes = fs.readFileSync(file);
    fs.writeFileSync(file, bytes.subarray(0, bytes.lastIndexOf("HSL1")));
    chai.expect(
      await getFailedCode(() => durableLogs.DurableLog.open(folder, "box-1")),
    ).to.equal("corruptLog");
  });
});
