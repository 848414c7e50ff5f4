import mutableFs, * as fs from "node:fs";
import * as module from "node:module";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as durableLogs from "./durable_log.ts";
import * as records from "./record.ts";

/*
 * A process that ends between the write of a record and its sync leaves a whole
 * record in the memory of its machine, not on its disk. The next process reads
 * it like any other, and vouches for it at once: a follower whose leader sends the
 * same entry again has nothing to save, so nothing syncs it before it answers. Where
 * the machine then loses its power, an entry that was counted is gone: the leader
 * takes it for held for as long as it leads, and never sends it again.
 */

describe("a log whose last write was not synced when its process ended", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-tail-"));
  const { fsyncSync, fdatasyncSync } = fs;

  function restore(): void {
    Object.assign(mutableFs, { fsyncSync, fdatasyncSync });
    module.syncBuiltinESMExports();
  }

  after(() => {
    restore();
    fs.rmSync(folder, { recursive: true, force: true });
  });

  it("is synced before its records are given", async () => {
    const { log } = await durableLogs.DurableLog.open(folder, "box-1");
    await log.append([{ index: 0 }]);
    await log.close();
    const file = path.join(folder, "log.0");
    const payload = Buffer.from(JSON.stringify([{ index: 1 }]));
    fs.appendFileSync(file, records.encodeRecord(payload));
    const { ino } = fs.statSync(file);
    const synced = new Set<number>();
    const handle = await fs.promises.open(file, "r");
    const prototype = Object.getPrototypeOf(handle) as typeof handle;
    await handle.close();
    const { sync, datasync } = prototype;
    function recordSync(descriptor: number): void {
      synced.add(fs.fstatSync(descriptor).ino);
    }
    Object.assign(mutableFs, {
      fsyncSync: (descriptor: number) => {
        recordSync(descriptor);
        fsyncSync(descriptor);
      },
      fdatasyncSync: (descriptor: number) => {
        recordSync(descriptor);
        fdatasyncSync(descriptor);
      },
    });
    module.syncBuiltinESMExports();
    Object.assign(prototype, {
      sync(this: typeof handle) {
        recordSync(this.fd);
        return sync.call(this);
      },
      datasync(this: typeof handle) {
        recordSync(this.fd);
        return datasync.call(this);
      },
    });
    try {
      const opened = await durableLogs.DurableLog.open(folder, "box-1");
      chai.expect(opened.loaded.records).to.deep.equal([
        { index: 0 },
        { index: 1 },
      ]);
      const isSynced = synced.has(ino);
      await opened.log.close();
      chai.expect(isSynced, "log.0 is synced").to.equal(true);
    } finally {
      Object.assign(prototype, { sync, datasync });
      restore();
    }
  });
});
