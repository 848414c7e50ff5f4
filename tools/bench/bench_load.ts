import * as admission from "../../src/admission/mod.ts";
import * as clocks from "../../src/clock/mod.ts";
import * as forwarding from "../../src/forwarding/mod.ts";
import * as loadSimulations from "../../src/fixtures/load_simulation.ts";
import * as serverFixtures from "../../src/fixtures/create_server.ts";

const SEEDS = [1, 2, 3] as const;
const SERVER_COUNTS = [20, 200, 1_800] as const;
const WAITING_COUNTS = [10, 100, 500] as const;
const ROUNDS = 2_000;
const US_PER_MS = 1_000;
const SLOTS_PER_SERVER = 6;

/** Outcome of a load pattern, as printed; shares are per request. */
interface LoadRow {
  readonly pattern: string;
  /** Whether the replay weighs the load of the backend servers. */
  readonly weighed: boolean;
  readonly inTarget: string;
  readonly served: string;
  readonly refusedTwice: string;
  readonly attempts: string;
  /** Longest time that a request waited before it was refused, in ms. */
  readonly longestRefusalMs: number;
}

async function measurePattern(
  pattern: loadSimulations.LoadPattern,
  weighed: boolean,
): Promise<LoadRow> {
  const outcomes = await Promise.all(
    SEEDS.map((seed) => loadSimulations.simulateLoad(pattern, seed, weighed)),
  );
  const asked = sum(outcomes, "asked");
  return {
    pattern: pattern.name,
    weighed,
    inTarget: (sum(outcomes, "inTarget") / asked).toFixed(3),
    served: (sum(outcomes, "served") / asked).toFixed(3),
    refusedTwice: (sum(outcomes, "refusedTwice") / asked).toFixed(3),
    attempts: (sum(outcomes, "attempts") / asked).toFixed(2),
    longestRefusalMs: Math.max(
      ...outcomes.map((outcome) => outcome.longestRefusalMs),
    ),
  };
}

function sum(
  outcomes: readonly loadSimulations.LoadOutcome[],
  field: keyof loadSimulations.LoadOutcome,
): number {
  return outcomes.reduce((total, outcome) => total + outcome[field], 0);
}

function measureMeanUs(action: () => void): number {
  const startMs = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) action();
  return (performance.now() - startMs) * US_PER_MS / ROUNDS;
}

/** Measures the time to choose among `count` backend servers, in us. */
function measureChoice(count: number): number {
  const clock = new clocks.FakeClock(0);
  const servers = Array.from(
    { length: count },
    (_, index) =>
      serverFixtures.createServer(`s${index}`, {
        service: "app",
        slots: SLOTS_PER_SERVER,
      }),
  );
  const choice: forwarding.ServerChoiceOptions = {
    servers,
    loads: new forwarding.ServerLoads(clock),
    tried: new Set(),
    refused: new Set(),
    avoidsFull: true,
    failureDomain: "d",
    draw: Math.random,
  };
  return measureMeanUs(() => forwarding.chooseServer(choice));
}

/** Measures the time to dequeue and enqueue a request among `count`, in us. */
function measureQueueTurn(count: number): number {
  const queue = new admission.AdmissionQueue();
  let nowMs = 0;
  function enterNext(): void {
    nowMs += 1;
    queue.enqueue({
      id: `${nowMs}`,
      priority: nowMs % 3,
      targetAtMs: nowMs + 100,
      deadlineAtMs: Number.POSITIVE_INFINITY,
    }, nowMs);
  }
  for (let index = 0; index < count; index += 1) enterNext();
  return measureMeanUs(() => {
    queue.recordFreedSlot(nowMs);
    queue.dequeue(nowMs);
    enterNext();
  });
}

/**
 * Replays the load patterns with and without weighing load, and measures the
 * time of a server choice and of a queue operation.
 */
export async function benchLoad(): Promise<void> {
  const rows: LoadRow[] = [];
  for (const pattern of loadSimulations.LOAD_PATTERNS) {
    rows.push(await measurePattern(pattern, false));
    rows.push(await measurePattern(pattern, true));
  }
  console.table(rows);
  const costs = {
    choiceUs: SERVER_COUNTS.map((count) => [count, measureChoice(count)]),
    turnUs: WAITING_COUNTS.map((count) => [count, measureQueueTurn(count)]),
  };
  console.log(JSON.stringify({ bench: "load", rows, ...costs }));
}
