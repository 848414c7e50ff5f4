import * as uniform from "pure-rand/distribution/uniformInt";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/** Which store box a step strikes; it is settled when the step begins. */
export type StoreChoice =
  | { readonly kind: "index"; readonly index: number }
  | { readonly kind: "leader" }
  | { readonly kind: "spare" }
  /** The one whose disk was lost last. */
  | { readonly kind: "newest" }
  /** The one whose disk has lasted longest. */
  | { readonly kind: "oldest" };

/** What happens to the boxes. */
export type Fault =
  /** A store is killed, loses its disk, and starts again. */
  | {
    readonly kind: "loseDisk";
    readonly store: StoreChoice;
    readonly downMs: number;
  }
  /** A store is killed and starts again with its disk. */
  | {
    readonly kind: "restart";
    readonly store: StoreChoice;
    readonly downMs: number;
  }
  /** A store is killed while a snapshot is sent to it, and starts again. */
  | {
    readonly kind: "restartInTransfer";
    readonly store: StoreChoice;
    readonly afterMs: number;
    readonly downMs: number;
  }
  /** A store stands still. */
  | {
    readonly kind: "pause";
    readonly store: StoreChoice;
    readonly pauseMs: number;
  }
  /** A store leaves for good; an empty one comes at another address. */
  | {
    readonly kind: "replace";
    readonly store: StoreChoice;
    readonly afterMs: number;
  }
  /** A store is emptied as planned, and removed once that is completed. */
  | { readonly kind: "retire"; readonly store: StoreChoice }
  /** One more empty store comes. */
  | { readonly kind: "addStore" }
  /** All entry boxes are stopped as planned, one after the other. */
  | { readonly kind: "rollEntries" }
  /** All boxes lose their power, one store its disk too. */
  | {
    readonly kind: "loseAll";
    readonly store: StoreChoice;
    readonly downMs: number;
  };

/** A fault and its time since the traffic began, in ms. */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** The faults of a day in the order of their times. */
export type DayPlan = readonly PlannedFault[];

const FIRST_LOSS_MS = 1_500;
const STORES = 4;

/** Disks lost one after the other, and the last one with all boxes' power. */
export const SERIES_DAY: DayPlan = [
  ...[0, 1, 2].map((index): PlannedFault => ({
    atMs: FIRST_LOSS_MS + index * 7_700,
    fault: { kind: "loseDisk", store: { kind: "index", index }, downMs: 1_000 },
  })),
  {
    atMs: 24_600,
    fault: { kind: "pause", store: { kind: "leader" }, pauseMs: 3_800 },
  },
  {
    atMs: 34_000,
    fault: { kind: "loseAll", store: { kind: "oldest" }, downMs: 1_000 },
  },
];

/** Draws whole numbers from a seed. */
class Draws {
  readonly #random: ReturnType<typeof generator.xoroshiro128plus>;

  constructor(seed: number) {
    this.#random = generator.xoroshiro128plus(seed);
  }

  draw(from: number, to: number): number {
    return uniform.uniformInt(this.#random, from, to);
  }

  drawOf<T>(values: readonly T[]): T {
    return values[this.draw(0, values.length - 1)] as T;
  }
}

function drawStore(draws: Draws): StoreChoice {
  const index = draws.draw(0, STORES - 1);
  return draws.drawOf<StoreChoice>([
    { kind: "index", index },
    { kind: "index", index },
    { kind: "leader" },
    { kind: "spare" },
    { kind: "oldest" },
  ]);
}

/** A fault that takes a disk; the next one waits until it may come. */
function drawLoss(draws: Draws): Fault {
  const store = drawStore(draws);
  const kind = draws.drawOf(["loseDisk", "loseDisk", "replace", "retire"]);
  if (kind === "replace") return { kind, store, afterMs: 2_000 };
  if (kind === "retire") return { kind, store };
  return { kind: "loseDisk", store, downMs: draws.draw(300, 4_000) };
}

/** A fault that takes no disk. */
function drawDisturbance(draws: Draws): Fault {
  const store = draws.drawOf<StoreChoice>([
    { kind: "newest" },
    drawStore(draws),
  ]);
  return draws.drawOf<Fault>([
    { kind: "restart", store, downMs: draws.draw(200, 2_000) },
    { kind: "restart", store, downMs: draws.draw(200, 2_000) },
    { kind: "pause", store, pauseMs: draws.draw(500, 4_000) },
    { kind: "rollEntries" },
    { kind: "addStore" },
  ]);
}

/**
 * Creates the plan of a day.
 *
 * @param seed Seed; 0 stands for the day with disks lost in series.
 * @returns The plan, the same for the same seed.
 */
export function createPlan(seed: number): DayPlan {
  if (seed === 0) return SERIES_DAY;
  const draws = new Draws(seed);
  const plan: PlannedFault[] = [];
  let atMs = FIRST_LOSS_MS;
  const losses = draws.draw(2, 4);
  for (let count = 0; count < losses; count += 1) {
    plan.push({ atMs, fault: drawLoss(draws) });
    if (draws.draw(0, 1) === 1) {
      const laterMs = draws.draw(500, 5_000);
      plan.push({ atMs: atMs + laterMs, fault: drawDisturbance(draws) });
    }
    atMs += draws.draw(6_500, 9_000);
  }
  const store = draws.drawOf<StoreChoice>([
    { kind: "oldest" },
    { kind: "leader" },
    drawStore(draws),
  ]);
  plan.push({ atMs, fault: { kind: "loseAll", store, downMs: 1_000 } });
  return plan;
}
