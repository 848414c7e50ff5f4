import * as csp from "../../src/csp/mod.ts";
import * as clocks from "../../src/clock/mod.ts";
import * as dispatch from "../../src/dispatch/mod.ts";
import * as logs from "../../src/log/mod.ts";
import * as metrics from "../../src/metrics/mod.ts";
import * as registry from "../../src/registry/mod.ts";
import type * as submissions from "../../src/submission/mod.ts";

/** Numbers of waiting items and of engines to measure. */
const SIZES = [
  { items: 200, engines: 31 },
  { items: 2_000, engines: 100 },
  { items: 10_000, engines: 1_000 },
] as const;
const SLOTS_PER_ENGINE = 12;
const ROUNDS = 15;
const MODEL_COUNT = 6;
const STEP_COUNT = 40;
const GROUP_COUNT = 16;
/** Every engine whose index is a multiple of this is slow, to cause moves. */
const SLOW_ENGINE_INTERVAL = 4;

function createEngine(index: number): registry.RegisteredServer {
  return registry.createRegisteredServer({
    id: `engine-${index}`,
    born: undefined,
    service: "lm",
    address: "127.0.0.1",
    port: 1,
    failureDomain: `d-${index % 7}`,
    slots: SLOTS_PER_ENGINE,
    phase: "ready",
    isSpot: false,
    leavesMs: undefined,
    coldMs: 0,
    sequence: 1,
    models: Array.from({ length: MODEL_COUNT }, (_, model) => ({
      name: `m-${model}`,
      version: 1,
    })),
  });
}

function createTask(index: number): dispatch.ItemTask {
  const item: submissions.SubmissionItem = {
    id: `item-${index}`,
    path: "/run",
    headers: {},
    body: "",
    tokens: 1_000,
    group: `g-${Math.floor(index / STEP_COUNT) % GROUP_COUNT}`,
    lengthHint: 500 + (index * 7_919) % 9_000,
    model: `m-${index % MODEL_COUNT}`,
    scoring: undefined,
  };
  const submission: submissions.Submission = {
    id: `s-${index % STEP_COUNT}`,
    sender: { kind: "unasked" },
    model: item.model,
    step: 1,
    minimumVersion: 1,
    desired: GROUP_COUNT,
    items: [item],
    acceptedAtMs: (index % STEP_COUNT) * 100,
    terms: {
      host: "a.example",
      service: "lm",
      attempts: 2,
      keepMs: 60_000,
      targetCompletionMs: 7_500,
      isSingleVersion: false,
    },
  };
  const step = new dispatch.StepProgress(submission, new Set());
  return new dispatch.ItemTask(submission, item, step, 0);
}

/** Durations of one round. */
interface Timing {
  /** Time to order all items without an earlier plan, in ms. */
  readonly planMs: number;
  /** Time to order the items again while the plan is valid, in ms. */
  readonly eventMs: number;
  /** Time to place the items on engines, in ms. */
  readonly placeMs: number;
  /** Time to plan moves between engines, in ms. */
  readonly moveMs: number;
}

/** Orders and places all waiting items, then plans moves of running ones. */
function measureRound(items: number, engineCount: number): Timing {
  const clock = new clocks.FakeClock(1_000);
  const engineTable = new dispatch.EngineTable(clock);
  const lengths = new dispatch.LengthEstimator();
  const engines = Array.from(
    { length: engineCount },
    (_, i) => createEngine(i),
  );
  engines.forEach((engine, index) => {
    const gapMs = index % SLOW_ENGINE_INTERVAL === 0 ? 120 : 37;
    for (let event = 0; event < 50; event += 1) {
      engineTable.recordInterval(engine, gapMs);
    }
  });
  const servers = { listReady: () => engines };
  const tasks = Array.from({ length: items }, (_, index) => createTask(index));
  const plannedAtMs = performance.now();
  const waitingOrder = new dispatch.WaitingOrder({
    clock,
    log: new logs.Log("box", "error", () => {}),
    metrics: new metrics.FleetMetrics(),
    servers,
    engines: engineTable,
    lengths,
    canRun: () => true,
  });
  waitingOrder.order("lm", tasks);
  const startMs = performance.now();
  const ordered = waitingOrder.order("lm", tasks);
  const orderedMs = performance.now();
  const placementRound = new dispatch.PlacementRound({
    servers,
    engines: engineTable,
  });
  for (const task of ordered) {
    const engine = placementRound.reserveSlot("lm", task.getRequirements());
    if (engine === undefined) continue;
    engineTable.addRun(engine.id);
    task.startRun({
      engine: engine.id,
      cancellation: new csp.Cancellation(),
      startedAtMs: 0,
    });
  }
  const placedMs = performance.now();
  dispatch.planMoves(tasks, 1_000, { servers, engines: engineTable, lengths });
  return {
    planMs: startMs - plannedAtMs,
    eventMs: orderedMs - startMs,
    placeMs: placedMs - orderedMs,
    moveMs: performance.now() - placedMs,
  };
}

function findMedian(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return Math.round((sorted[Math.floor(sorted.length / 2)] ?? 0) * 100) / 100;
}

/** Measures the dispatcher's decisions in one round, at growing sizes. */
export function benchDispatch(): void {
  const results = SIZES.map(({ items, engines }) => {
    const timings = Array.from(
      { length: ROUNDS },
      () => measureRound(items, engines),
    );
    return {
      items,
      engines,
      planMs: findMedian(timings.map((timing) => timing.planMs)),
      eventMs: findMedian(timings.map((timing) => timing.eventMs)),
      placeMs: findMedian(timings.map((timing) => timing.placeMs)),
      moveMs: findMedian(timings.map((timing) => timing.moveMs)),
    };
  });
  for (const result of results) console.log(JSON.stringify(result));
  console.log(JSON.stringify({ rounds: ROUNDS, results }));
}
