import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as itemFixtures from "../submission/item_fixture_test.ts";
import type * as submissions from "../submission/mod.ts";
import * as engineTables from "./engine_table.ts";
import * as itemTasks from "./item_task.ts";
import * as lengthEstimators from "./length_estimator.ts";
import * as planMoves from "./plan_moves.ts";
import * as stepProgress from "./step_progress.ts";

/** Hinted tokens per event that are assumed before any item has finished. */
const TOKENS_PER_EVENT = 50;
const NOW_MS = 10_000;

function createEngine(id: string): registry.RegisteredServer {
  return serverFixtures.createServer(id, {
    slots: 2,
    models: [{ name: "m", version: 1 }],
  });
}

describe("planMoves", () => {
  const engines = ["fast", "slower", "slow"].map(createEngine);
  const lengths = new lengthEstimators.LengthEstimator();
  let table = new engineTables.EngineTable(new clocks.FakeClock());

  beforeEach(() => {
    table = new engineTables.EngineTable(new clocks.FakeClock());
    for (let event = 0; event < 200; event += 1) {
      for (const [engine, gapMs] of [[0, 40], [1, 50], [2, 140]] as const) {
        const noted = engines[engine];
        if (noted !== undefined) table.recordInterval(noted, gapMs);
      }
    }
  });

  /** Creates a running item with an expected number of events. */
  function createRunning(
    id: string,
    engine: string,
    events: number,
    startedAtMs = 0,
  ): itemTasks.ItemTask {
    const lengthHint = events * TOKENS_PER_EVENT;
    const item = itemFixtures.createItem(id, { lengthHint });
    const submission = {
      id: "s",
      model: "m",
      minimumVersion: 1,
      items: [item],
      acceptedAtMs: 0,
      terms: { service: "lm" },
    } as unknown as submissions.Submission;
    const step = new stepProgress.StepProgress(submission, new Set());
    const task = new itemTasks.ItemTask(submission, item, step, 0);
    const cancellation = new csp.Cancellation();
    task.startRun({ engine, cancellation, startedAtMs });
    table.addRun(engine);
    return task;
  }

  function plan(tasks: readonly itemTasks.ItemTask[]): readonly string[] {
    const moves = planMoves.planMoves(tasks, NOW_MS, {
      servers: { listReady: () => engines },
      engines: table,
      lengths,
    });
    return moves.map(({ task, targetEngine: to }) =>
      `${task.item.id} ${to.id}`
    );
  }

  it("moves a long run off an engine that is only slightly slower", () => {
    const tasks = [createRunning("long", "slower", 100)];
    chai.expect(plan(tasks)).to.deep.equal(["long fast"]);
  });

  it("keeps a run that would gain less than a move costs", () => {
    const tasks = [createRunning("short", "slower", 10)];
    chai.expect(plan(tasks)).to.deep.equal([]);
  });

  it("gives the fastest slots to the runs with the longest remaining time", () => {
    const tasks = [
      createRunning("short", "slow", 20),
      createRunning("long", "slow", 150),
      createRunning("there", "fast", 150),
    ];
    chai.expect(plan(tasks)).to.deep.equal(["long fast", "short slower"]);
  });

  it("keeps a run at an engine that has been slow only briefly", () => {
    // Guards against moving runs back and forth because of brief slowdowns.
    const tasks = [createRunning("long", "fast", 100)];
    const [fast] = engines;
    if (fast === undefined) throw new Error("The test engine is missing");
    for (let event = 0; event < 8; event += 1) table.recordInterval(fast, 100);
    chai.expect(table.getIdleIntervalMs("fast")).to.be.above(1.1 * 50);
    chai.expect(plan(tasks)).to.deep.equal([]);
    for (let event = 0; event < 30; event += 1) table.recordInterval(fast, 100);
    chai.expect(plan(tasks)).to.deep.equal(["long slower"]);
    for (let event = 0; event < 60; event += 1) table.recordInterval(fast, 40);
    chai.expect(table.getSlowDurationMs("fast")).to.equal(0);
  });

  it("keeps a run that has just started or is already being moved", () => {
    const fresh = createRunning("fresh", "slow", 150, NOW_MS - 100);
    const moved = createRunning("moved", "slow", 150);
    moved.run?.cancellation.cancel();
    chai.expect(plan([fresh, moved])).to.deep.equal([]);
  });

  it("picks no engine that failed the item, loads its model or is full", () => {
    const failed = createRunning("failed", "slow", 150);
    failed.avoid("fast");
    chai.expect(plan([failed])).to.deep.equal(["failed slower"]);
    table.setLoadingModel("slower", "m");
    chai.expect(plan([failed])).to.deep.equal([]);
    const other = createRunning("other", "slow", 150);
    for (let run = 0; run < 2; run += 1) table.addRun("fast");
    chai.expect(plan([other])).to.deep.equal([]);
  });
});

describe("length estimator", () => {
  it("learns the number of events per hinted token", () => {
    const lengths = new lengthEstimators.LengthEstimator();
    for (let item = 0; item < 200; item += 1) {
      lengths.recordLength(createFinished(100, 20));
    }
    chai.expect(lengths.estimateRemaining(createFinished(1_000, 0))).to.be
      .closeTo(200, 2);
    chai.expect(lengths.estimateRemaining(createFinished(1_000, 150))).to.be
      .closeTo(60, 2);
  });

  it("expects a run beyond its expected length to be long", () => {
    const lengths = new lengthEstimators.LengthEstimator();
    chai.expect(lengths.estimateRemaining(createFinished(500, 100))).to.equal(
      40,
    );
  });

  it("uses the mean length when there is no hint", () => {
    const lengths = new lengthEstimators.LengthEstimator();
    for (let item = 0; item < 200; item += 1) {
      lengths.recordLength(createFinished(undefined, 60));
    }
    chai.expect(lengths.estimateRemaining(createFinished(undefined, 10))).to.be
      .closeTo(50, 1);
  });

  /** Creates an item with a number of generated events. */
  function createFinished(
    lengthHint: number | undefined,
    events: number,
  ): itemTasks.ItemTask {
    const item = itemFixtures.createItem("a", { lengthHint });
    const submission = { items: [item] } as unknown as submissions.Submission;
    const step = new stepProgress.StepProgress(submission, new Set());
    const task = new itemTasks.ItemTask(submission, item, step, 0);
    for (let id = 1; id <= events; id += 1) {
      task.progress.add({ id, data: "", version: 1 });
    }
    return task;
  }
});
