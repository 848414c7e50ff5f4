import * as fs from "node:fs";
import * as fsPromises from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as durableLogs from "./durable_log.ts";
import * as isDiskFull from "./is_disk_full.ts";

/** A file whose writes put half their bytes down and then fail. */
async function simulateFullDisk(): Promise<() => void> {
  const probe = await fsPromises.open(os.devNull, "r");
  const prototype = Object.getPrototypeOf(probe);
  await probe.close();
  const original = prototype.appendFile;
  prototype.appendFile = async function (bytes: Buffer) {
    await original.call(this, bytes.subarray(0, bytes.length / 2));
    throw Object.assign(new Error("no space"), { code: "ENOSPC" });
  };
  return () => {
    prototype.appendFile = original;
  };
}

describe("full disk", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-full-"));

  after(() => fs.rmSync(folder, { recursive: true, force: true }));

  it("leaves the log as it was, and takes the same records later", async () => {
    const { log } = await durableLogs.DurableLog.open(folder, "box-1");
    await log.append([{ index: 0 }]);
    const restoreWrites = await simulateFullDisk();
    try {
      await log.append([{ index: 1 }]);
      throw new Error("the write did not fail");
    } catch (error) {
      chai.expect(isDiskFull.isDiskFull(error)).to.equal(true);
    } finally {
      restoreWrites();
    }
    await log.append([{ index: 1 }]);
    await log.append([{ index: 2 }]);
    await log.close();
    const opened = await durableLogs.DurableLog.open(folder, "box-1");
    await opened.log.close();
    chai.expect(opened.loaded.records).to.deep.equal([
      { index: 0 },
      { index: 1 },
      { index: 2 },
    ]);
    chai.expect(opened.loaded.tornBytes).to.equal(0);
  });

  it("takes no other failure for a full disk", () => {
    chai.expect(isDiskFull.isDiskFull(new Error("bad"))).to.equal(false);
    chai.expect(isDiskFull.isDiskFull(undefined)).to.equal(false);
  });
});
