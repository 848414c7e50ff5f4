import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import type * as itemRuns from "../item_run/mod.ts";
import * as itemCrashTrackers from "./item_crash_tracker.ts";
import * as taskFixtures from "./task_fixture_test.ts";

const BROKEN: itemRuns.RunOutcome = {
  kind: "broken",
  reason: "socket hang up",
  isClosed: true,
};

// Guards against an item that crashes one engine after the other until its
// submission ends.
describe("item crash tracker", () => {
  const clock = new clocks.FakeClock(1_000);
  let task = taskFixtures.createTask("item");
  let tracker = new itemCrashTrackers.ItemCrashTracker({
    crashGuard: guardFixtures.createCrashGuard(clock),
  });

  beforeEach(() => {
    task = taskFixtures.createTask("item");
    tracker = new itemCrashTrackers.ItemCrashTracker({
      crashGuard: guardFixtures.createCrashGuard(clock, {
        table: new crashRecords.CrashTable(),
        findPortState: () => Promise.resolve("refused"),
      }),
    });
  });

  function endRun(
    engine: string,
    end: itemRuns.RunOutcome,
    eventsBefore = task.progress.countGeneratedEvents(),
  ): Promise<void> {
    const server = serverFixtures.createServer(engine);
    const runStart = { ...tracker.startRun(task, server), eventsBefore };
    return tracker.recordRunEnd(task, server, runStart, end);
  }

  it("allows no run after three crashed engines", async () => {
    for (const engine of ["i-1", "i-2"]) await endRun(engine, BROKEN);
    chai.expect(tracker.canRun(task)).to.equal(true);
    await endRun("i-3", BROKEN);
    chai.expect(tracker.canRun(task)).to.equal(false);
  });

  it("counts an engine that restarted during a run", () => {
    for (const engine of ["i-1", "i-2", "i-3"]) {
      const server = serverFixtures.createServer(engine);
      const runStart = { ...tracker.startRun(task, server), eventsBefore: 0 };
      tracker.recordEngineRestart(task, server, runStart);
    }
    chai.expect(tracker.canRun(task)).to.equal(false);
  });

  it("counts engines that restarted at the address of a crashed one", async () => {
    for (let run = 0; run < 2; run += 1) await endRun("i-1", BROKEN);
    chai.expect(tracker.canRun(task)).to.equal(true);
    await endRun("i-1", BROKEN);
    chai.expect(tracker.canRun(task)).to.equal(false);
  });

  it("allows runs as long as they generate events", async () => {
    for (const engine of ["i-1", "i-2", "i-3", "i-4"]) {
      const eventsBefore = task.progress.countGeneratedEvents();
      const id = eventsBefore + 1;
      task.progress.add({ id, data: "x", version: 1 });
      await endRun(engine, BROKEN, eventsBefore);
    }
    chai.expect(tracker.canRun(task)).to.equal(true);
  });

  it("resets after a finished run and ignores runs not closed by the engine", async () => {
    for (const engine of ["i-1", "i-2"]) await endRun(engine, BROKEN);
    await endRun("i-3", { kind: "finished" });
    await endRun("i-4", BROKEN);
    for (let turn = 0; turn < 4; turn += 1) {
      await endRun("i-5", { ...BROKEN, isClosed: false });
    }
    chai.expect(tracker.canRun(task)).to.equal(true);
  });
});
