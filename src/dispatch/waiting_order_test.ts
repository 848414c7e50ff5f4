import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as itemFixtures from "../submission/item_fixture_test.ts";
import * as submissions from "../submission/mod.ts";
import * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import * as lengthEstimators from "./length_estimator.ts";
import * as taskFixtures from "./task_fixture_test.ts";
import * as taskTables from "./task_table.ts";
import * as waitingOrders from "./waiting_order.ts";

/** Hinted tokens per event that are assumed before any item has finished. */
const TOKENS_PER_EVENT = 50;

describe("waiting order", () => {
  let clock = new clocks.FakeClock(1_000);
  let loggedEvents: string[] = [];
  let gauges = new Map<string, number>();
  let blocked: ReadonlySet<string> = new Set();
  let order: waitingOrders.WaitingOrder;
  const engine = serverFixtures.createServer("e", { service: "lm", slots: 4 });

  beforeEach(() => {
    clock = new clocks.FakeClock(1_000);
    loggedEvents = [];
    gauges = new Map();
    blocked = new Set();
    order = new waitingOrders.WaitingOrder({
      clock,
      log: {
        write: (_level: string, event: string) => loggedEvents.push(event),
      } as unknown as logs.Log,
      metrics: {
        setPlannedGroups: (trainer: string, groups: { late: number }) =>
          gauges.set(trainer, groups.late),
      } as unknown as metrics.FleetMetrics,
      servers: { listReady: () => [engine] },
      engines: new engineTables.EngineTable(clock),
      lengths: new lengthEstimators.LengthEstimator(),
      canRun: (task) => !blocked.has(task.item.id),
    });
  });

  /** Creates the only item of a step, with an expected number of events. */
  function createTask(id: string, events: number): itemTasks.ItemTask {
    return taskFixtures.createTask(id, {
      id,
      acceptedAtMs: clock.getWallMs(),
      terms: {
        host: "h",
        service: "lm",
        attempts: 2,
        keepMs: 60_000,
        targetCompletionMs: 7_500,
        isSingleVersion: false,
      },
    }, events * TOKENS_PER_EVENT);
  }

  function list(tasks: readonly itemTasks.ItemTask[]): readonly string[] {
    return order.order("lm", tasks).map((task) => task.item.id);
  }

  it("puts moved runs first and omits items that may not run", () => {
    const tasks = ["a", "b", "c"].map((id) => createTask(id, 20));
    tasks[1]!.targetEngine = "e";
    blocked = new Set(["a"]);
    chai.expect(list(tasks)).to.deep.equal(["b", "c"]);
  });

  it("reports a trainer with late groups at a limited rate", () => {
    const tasks = Array.from(
      { length: 40 },
      (_, index) => createTask(`t${index}`, 40),
    );
    list(tasks);
    clock.advance(500);
    list(tasks);
    chai.expect(loggedEvents).to.deep.equal(["steps.short"]);
    clock.advance(2_000);
    list(tasks);
    chai.expect(loggedEvents).to.deep.equal(["steps.short", "steps.short"]);
    chai.expect([...gauges.values()].some((late) => late > 0)).to.equal(true);
    clock.advance(100);
    list([createTask("alone", 20)]);
    chai.expect([...gauges.values()].every((late) => late === 0)).to.equal(
      true,
    );
  });

  it("reports nothing while there is enough capacity", () => {
    chai.expect(list([createTask("a", 20)])).to.deep.equal(["a"]);
    chai.expect(loggedEvents).to.deep.equal([]);
  });

  it("plans again at once for an item missing from the last plan", () => {
    const tasks = Array.from(
      { length: 40 },
      (_, index) => createTask(`t${index}`, 2),
    );
    list(tasks);
    const urgent = createTask("urgent", 150);
    chai.expect(list([...tasks, urgent])[0]).to.equal("urgent");
  });

  it("counts the slots that the steps need to be on time", () => {
    const tasks = Array.from(
      { length: 10 },
      (_, index) => createTask(`t${index}`, 50),
    );
    // 10 items of 50 events, each 46 ms at a full engine, due in 6.8 s.
    chai.expect(order.computeRequiredSlots("lm", tasks, 4_000)).to.be.closeTo(
      10 * 50 * 46 / 6_800,
      0.05,
    );
    clock.advance(20_000);
    chai.expect(order.computeRequiredSlots("lm", tasks, 4_000)).to.be.closeTo(
      10 * 50 * 46 / 4_000,
      0.05,
    );
  });
});

describe("task table", () => {
  const machine = new submissions.SubmissionStateMachine(() => {});
  const draft = taskFixtures.createTask("x").submission;

  function accept(step: number, model: string, items: readonly string[]): void {
    machine.apply({
      kind: "acceptSubmission",
      submission: {
        ...draft,
        id: `${model}${step}`,
        model,
        step,
        desired: 2,
        items: items.map((id) =>
          itemFixtures.createItem(id, { group: `g-${id}` })
        ),
      },
    });
  }

  it("finds groups carried over from earlier steps of the same model", () => {
    accept(0, "m", ["a", "b"]);
    accept(1, "m", ["b", "c", "d"]);
    accept(1, "n", ["a"]);
    const table = new taskTables.TaskTable(machine, new clocks.FakeClock());
    table.syncRecords();
    const carried = table.list().filter(({ step, item }) =>
      step.isCarried(item.group ?? "")
    ).map(({ submission, item }) => `${submission.id} ${item.id}`);
    chai.expect(carried).to.deep.equal(["m1 b"]);
  });
});
