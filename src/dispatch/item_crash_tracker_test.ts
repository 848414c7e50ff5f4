import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import type * as itemRuns from "../item_run/mod.ts";
import * as itemCrashTrackers from "./item_crash_tracker.ts";
import * as taskFixtures from "./task_fixture_test.ts";

const BROKEN: itemRuns.RunEnd = {
  kind: "broken",
  reason: "socket hang up",
  isClosed: true,
};

// An item whose engine ended under it went on to the next engine, whatever became
// of it there: nothing counted the engines, until its submission ended.
describe("items under which engines end", () => {
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
    end: itemRuns.RunEnd,
    eventsBefore = task.progress.countMade(),
  ): Promise<void> {
    const server = serverFixtures.createServer(engine);
    return tracker.recordRunEnd(task, server, {
      end,
      eventsBefore: eventsBefore,
    });
  }

  it("run at no fourth engine", async () => {
    for (const engine of ["i-1", "i-2"]) await endRun(engine, BROKEN);
    chai.expect(tracker.canRun(task)).to.equal(true);
    await endRun("i-3", BROKEN);
    chai.expect(tracker.canRun(task)).to.equal(false);
  });

  it("count an engine that started again in their midst", () => {
    for (const engine of ["i-1", "i-2", "i-3"]) {
      tracker.recordEngineRestart(task, serverFixtures.createServer(engine), 0);
    }
    chai.expect(tracker.canRun(task)).to.equal(false);
  });

  it("go on while their runs bring events", async () => {
    for (const engine of ["i-1", "i-2", "i-3", "i-4"]) {
      const eventsBefore = task.progress.countMade();
      const id = eventsBefore + 1;
      task.progress.add({ id, data: "x", version: 1 });
      await endRun(engine, BROKEN, eventsBefore);
    }
    chai.expect(tracker.canRun(task)).to.equal(true);
  });

  it("are cleared once a run ends well, and blamed for no reset", async () => {
    for (const engine of ["i-1", "i-2"]) await endRun(engine, BROKEN);
    await endRun("i-3", { kind: "finished" });
    await endRun("i-4", BROKEN);
    for (let turn = 0; turn < 4; turn += 1) {
      await endRun("i-5", { ...BROKEN, isClosed: false });
    }
    chai.expect(tracker.canRun(task)).to.equal(true);
  });
});
