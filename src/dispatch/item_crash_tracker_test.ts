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

// Guards against an accepted item that is never run again because engines crashed
// when they ran it, and against one that costs other work its engines meanwhile.
describe("item crash tracker", () => {
  const clock = new clocks.FakeClock(1_000);
  let task = taskFixtures.createTask("item");
  let table = new crashRecords.CrashTable();
  let tracker = createTracker();

  function createTracker(): itemCrashTrackers.ItemCrashTracker {
    return new itemCrashTrackers.ItemCrashTracker({
      clock,
      log: { write: () => {} },
      crashGuard: guardFixtures.createCrashGuard(clock, {
        table,
        findPortState: () => Promise.resolve("refused"),
      }),
    });
  }

  beforeEach(() => {
    task = taskFixtures.createTask("item");
    table = new crashRecords.CrashTable();
    tracker = createTracker();
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

  it("allows a run again however many engines crashed, within a second", async () => {
    for (let crash = 1; crash <= 12; crash += 1) {
      await endRun(`i-${crash}`, BROKEN);
      clock.advance(1_000);
      chai.expect(tracker.canRun(task)).to.equal(true);
    }
  });

  it("pauses from the third crash on, longer after each", async () => {
    for (const engine of ["i-1", "i-2"]) await endRun(engine, BROKEN);
    chai.expect(tracker.canRun(task)).to.equal(true);
    for (const pauseMs of [250, 500, 1_000, 1_000]) {
      await endRun("i-3", BROKEN);
      clock.advance(pauseMs - 1);
      chai.expect(tracker.canRun(task)).to.equal(false);
      clock.advance(1);
      chai.expect(tracker.canRun(task)).to.equal(true);
    }
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

  it("holds nothing against a request of the same content", async () => {
    for (const engine of ["i-1", "i-2", "i-3"]) await endRun(engine, BROKEN);
    const [record, ...others] = table.list();
    chai.expect(others).to.deep.equal([]);
    chai.expect(record?.ended.length).to.equal(3);
    chai.expect(crashRecords.countConsecutiveCrashes(record)).to.equal(0);
  });

  it("ignores records of boxes that bar items", () => {
    const digest = task.getWorkDigest();
    const ended = ["i-1", "i-2", "i-3"];
    table.merge({
      digest,
      ended,
      cleared: [],
      account: "",
      service: "lm",
      target: "/x",
      notedAtMs: clock.getWallMs(),
    }, clock.getWallMs());
    chai.expect(tracker.canRun(task)).to.equal(true);
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

  // Guards against innocent items that are barred for a day because the engines
  // of their group were lost together.
  describe("for items of groups", () => {
    /** Creates an item of a group; the items of a group are equal work. */
    function createItem(group: string, index: number) {
      return taskFixtures.createTask(`${group}-${index}`, {
        sender: { kind: "account", name: group, priority: undefined },
      });
    }

    interface StartedRun {
      readonly task: ReturnType<typeof createItem>;
      readonly server: ReturnType<typeof serverFixtures.createServer>;
      readonly start: itemCrashTrackers.RunStart;
    }

    function startRun(
      item: ReturnType<typeof createItem>,
      engine: string,
    ): StartedRun {
      const server = serverFixtures.createServer(engine);
      return { task: item, server, start: tracker.startRun(item, server) };
    }

    /** Ends runs whose engines crash at one moment. */
    async function endByCrash(runs: readonly StartedRun[]): Promise<void> {
      await Promise.all(
        runs.map(({ task: item, server, start }) =>
          tracker.recordRunEnd(item, server, start, BROKEN)
        ),
      );
    }

    function createGroup(group: string) {
      return [0, 1, 2, 3].map((index) => createItem(group, index));
    }

    async function crashEngines(groups: readonly string[]) {
      const items = groups.map(createGroup);
      await endByCrash(
        items.flatMap((members) =>
          members.map((item, index) => startRun(item, `i-${index}`))
        ),
      );
      return items;
    }

    it("runs them again after a rack of engines was lost at their begin", async () => {
      const groups = await crashEngines(["g1", "g2"]);
      for (const item of groups.flat()) {
        chai.expect(tracker.canRun(item)).to.equal(true);
      }
    });

    it("runs one item of a group at a time until it generates an event", async () => {
      const [[first, second]] = await crashEngines(["g1"]) as [
        [ReturnType<typeof createItem>, ReturnType<typeof createItem>],
      ];
      startRun(first, "i-5");
      chai.expect(tracker.canRun(second)).to.equal(false);
      chai.expect(tracker.recordEvent(first)).to.equal(true);
      chai.expect(tracker.canRun(second)).to.equal(true);
      chai.expect(tracker.getExcludedEngines(second).size).to.equal(0);
      chai.expect(tracker.recordEvent(first)).to.equal(false);
    });

    // Guards against items that wait for seconds because one of their kind is on
    // trial at an engine that is busy with something else.
    it("waits for the event of a trial for a limited time", async () => {
      const [[first, second]] = await crashEngines(["g1"]) as [
        [ReturnType<typeof createItem>, ReturnType<typeof createItem>],
      ];
      startRun(first, "i-5");
      clock.advance(999);
      chai.expect(tracker.canRun(second)).to.equal(false);
      clock.advance(1);
      chai.expect(tracker.canRun(second)).to.equal(true);
    });

    it("keeps items of two groups on trial apart, for a limited time", async () => {
      const [[first], [other]] = await crashEngines(["g1", "g2"]) as [
        [ReturnType<typeof createItem>],
        [ReturnType<typeof createItem>],
      ];
      startRun(first, "i-5");
      chai.expect([...tracker.getExcludedEngines(other)].join()).to.contain(
        "i-5",
      );
      clock.advance(1_001);
      chai.expect(tracker.getExcludedEngines(other).size).to.equal(0);
    });

    it("ends a trial whose run broke off without a crash", async () => {
      const [[first, second]] = await crashEngines(["g1"]) as [
        [ReturnType<typeof createItem>, ReturnType<typeof createItem>],
      ];
      const { server, start } = startRun(first, "i-5");
      await tracker.recordRunEnd(first, server, start, {
        ...BROKEN,
        isClosed: false,
      });
      chai.expect(tracker.canRun(second)).to.equal(true);
    });

    it("takes one engine a pause if trials crash one after the other", async () => {
      const [items = []] = await crashEngines(["g1"]);
      const crashes: number[] = [];
      for (let second = 0; second < 10; second += 1) {
        const startMs = clock.getMonotonicMs();
        let crashed = 0;
        for (const [index, item] of items.entries()) {
          if (!tracker.canRun(item)) continue;
          await endByCrash([startRun(item, `i-${second}-${index}`)]);
          crashed += 1;
        }
        crashes.push(crashed);
        clock.advance(startMs + 1_000 - clock.getMonotonicMs());
      }
      chai.expect(crashes).to.deep.equal([2, 1, 1, 1, 1, 1, 1, 1, 1, 1]);
      chai.expect(items.some((item) => tracker.canRun(item))).to.equal(true);
    });

    it("paces the group that crashes engines, and not one that was lost with it", async () => {
      const [guilty = [], innocent = []] = await crashEngines(["bad", "good"]);
      const [suspect] = guilty;
      const [other] = innocent;
      if (suspect === undefined || other === undefined) throw new Error("none");
      const trial = startRun(suspect, "i-5");
      chai.expect(
        tracker.getExcludedEngines(other).has(trial.server.lifetime),
      ).to.equal(true);
      startRun(other, "i-9");
      tracker.recordEvent(other);
      await endByCrash([trial]);
      await endByCrash([startRun(suspect, "i-6")]);
      chai.expect(guilty.some((item) => tracker.canRun(item))).to.equal(false);
      chai.expect(innocent.every((item) => tracker.canRun(item))).to.equal(
        true,
      );
    });
  });
});
