import * as uniform from "pure-rand/distribution/uniformInt";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/** Which store box a step strikes; it is settled when the step begins. */
export type StoreSelector =
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
    readonly store: StoreSelector;
    readonly downMs: number;
  }
  /** A store is killed and starts again with its disk. */
  | {
    readonly kind: "restart";
    readonly store: StoreSelector;
    readonly downMs: number;
  }
  /** A store is killed while a snapshot is sent to it, and starts again. */
  | {
    readonly kind: "restartInTransfer";
    readonly store: StoreSelector;
    readonly afterMs: number;
    readonly downMs: number;
  }
  /** A store stands still. */
  | {
    readonly kind: "pause";
    readonly store: StoreSelector;
    readonly pauseMs: number;
  }
  /** A store leaves for good; an empty one comes at another address. */
  | {
    readonly kind: "replace";
    readonly store: StoreSelector;
    readonly afterMs: number;
  }
  /** A store is emptied as planned, and removed once that is completed. */
  | { readonly kind: "retire"; readonly store: StoreSelector }
  /** One more empty store comes. */
  | { readonly kind: "addStore" }
  /** All entry boxes are stopped as planned, one after the other. */
  | { readonly kind: "rollEntries" }
  /** All boxes lose their power, one store its disk too. */
  | {
    readonly kind: "loseAll";
    readonly store: StoreSelector;
    readonly downMs: number;
  };

/** A fault and its time since the traffic began, in ms. */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** The faults of a day in the order of their times. */
export type FaultPlan = readonly PlannedFault[];

const FIRST_LOSS_MS = 1_500;
const STORE_COUNT = 4;

/** Disks lost one after the other, and the last one with all boxes' power. */
export const SERIES_PLAN: FaultPlan = [
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
class RandomSource {
  readonly #random: ReturnType<typeof generator.xoroshiro128plus>;

  constructor(seed: number) {
    this.#random = generator.xoroshiro128plus(seed);
  }

  drawInteger(from: number, to: number): number {
    return uniform.uniformInt(this.#random, from, to);
  }

  pick<T>(values: readonly T[]): T {
    return values[this.drawInteger(0, values.length - 1)] as T;
  }
}

function pickStore(random: RandomSource): StoreSelector {
  const index = random.drawInteger(0, STORE_COUNT - 1);
  return random.pick<StoreSelector>([
    { kind: "index", index },
    { kind: "index", index },
    { kind: "leader" },
    { kind: "spare" },
    { kind: "oldest" },
  ]);
}

/** A fault that takes a disk; the next one waits until it may come. */
function drawDiskLoss(random: RandomSource): Fault {
  const store = pickStore(random);
  const kind = random.pick(["loseDisk", "loseDisk", "replace", "retire"]);
  if (kind === "replace") return { kind, store, afterMs: 2_000 };
  if (kind === "retire") return { kind, store };
  return { kind: "loseDisk", store, downMs: random.drawInteger(300, 4_000) };
}

/** A fault that takes no disk. */
function drawOtherFault(random: RandomSource): Fault {
  const store = random.pick<StoreSelector>([
    { kind: "newest" },
    pickStore(random),
  ]);
  return random.pick<Fault>([
    { kind: "restart", store, downMs: random.drawInteger(200, 2_000) },
    { kind: "restart", store, downMs: random.drawInteger(200, 2_000) },
    { kind: "pause", store, pauseMs: random.drawInteger(500, 4_000) },
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
export function createPlan(seed: number): FaultPlan {
  if (seed === 0) return SERIES_PLAN;
  const random = new RandomSource(seed);
  const plan: PlannedFault[] = [];
  let atMs = FIRST_LOSS_MS;
  const lossCount = random.drawInteger(2, 4);
  for (let count = 0; count < lossCount; count += 1) {
    plan.push({ atMs, fault: drawDiskLoss(random) });
    if (random.drawInteger(0, 1) === 1) {
      const delayMs = random.drawInteger(500, 5_000);
      plan.push({ atMs: atMs + delayMs, fault: drawOtherFault(random) });
    }
    atMs += random.drawInteger(6_500, 9_000);
  }
  const store = random.pick<StoreSelector>([
    { kind: "oldest" },
    { kind: "leader" },
    pickStore(random),
  ]);
  plan.push({ atMs, fault: { kind: "loseAll", store, downMs: 1_000 } });
  return plan;
}
