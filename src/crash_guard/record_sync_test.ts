import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as recordSyncs from "./record_sync.ts";

describe("RecordSync", () => {
  let clock = new clocks.FakeClock(1_000);
  let sync = new recordSyncs.RecordSync(clock, { write: () => {} });

  beforeEach(() => {
    clock = new clocks.FakeClock(1_000);
    sync = new recordSyncs.RecordSync(clock, { write: () => {} });
  });

  it("makes work wait until the records are known", async () => {
    let isOver = false;
    const waiting = sync.awaitRecords().then(() => {
      isOver = true;
    });
    await Promise.resolve();
    chai.expect([sync.isAwaited(), isOver]).to.deep.equal([true, false]);
    sync.complete();
    await waiting;
    chai.expect([sync.isAwaited(), isOver]).to.deep.equal([false, true]);
    await sync.awaitRecords();
  });

  it("makes work wait for a limited time, and still tells what is not known", async () => {
    const waiting = sync.awaitRecords();
    clock.advance(2_000);
    await waiting;
    chai.expect([sync.isAwaited(), sync.isComplete()]).to.deep.equal([
      false,
      false,
    ]);
    await sync.awaitRecords();
  });
});
