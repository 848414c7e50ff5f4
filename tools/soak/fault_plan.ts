import * as randomSources from "../../src/fixtures/random_source.ts";

/** Selects the store box that a fault hits, when the fault is applied. */
export type StoreSelector =
  | { readonly kind: "index"; readonly index: number }
  /**
   * The first store box whose last line about authority has it, also after the
   * box has lost its disk.
   */
  | { readonly kind: "leader" }
  /** The voter that counts whose loss is worst: the leader, if it counts. */
  | { readonly kind: "counted" }
  /** The voter that counts and doesn't lead whose loss is worst. */
  | { readonly kind: "countedFollower" }
  /** A store box that is not a voter. */
  | { readonly kind: "spare" }
  /** The store box whose disk was created last. */
  | { readonly kind: "newest" }
  /** The store box whose disk was created first. */
  | { readonly kind: "oldest" };

/** A fault or a planned operation that is applied to the fleet. */
export type Fault =
  /** Kills a store box, deletes its disk and starts it after `downMs`. */
  | {
    readonly kind: "loseDisk";
    readonly store: StoreSelector;
    readonly downMs: number;
  }
  /** Kills a store box and starts it with its disk after `downMs`. */
  | {
    readonly kind: "restart";
    readonly store: StoreSelector;
    readonly downMs: number;
  }
  /** Stops a store box with SIGTERM and starts it with its disk. */
  | { readonly kind: "stop"; readonly store: StoreSelector }
  /** Restarts a store box `afterMs` after a snapshot transfer to it began. */
  | {
    readonly kind: "restartInTransfer";
    readonly store: StoreSelector;
    readonly afterMs: number;
    readonly downMs: number;
  }
  /** Suspends the process of a store box for `pauseMs`. */
  | {
    readonly kind: "pause";
    readonly store: StoreSelector;
    readonly pauseMs: number;
  }
  /** Removes a store box; an empty one at another address follows it. */
  | {
    readonly kind: "replace";
    readonly store: StoreSelector;
    readonly afterMs: number;
  }
  /** Retires a store box and removes it once that has completed. */
  | { readonly kind: "retire"; readonly store: StoreSelector }
  /** Adds an empty store box. */
  | { readonly kind: "addStore" }
  /** Restarts all entry boxes gracefully, one at a time. */
  | { readonly kind: "rollEntries" }
  /** Kills all boxes at once and deletes the disk of one store box. */
  | {
    readonly kind: "loseAll";
    readonly store: StoreSelector;
    readonly downMs: number;
    /**
     * Time from an election, which a suspension of the leader brings about, to
     * the kill, in ms; undefined for no election.
     */
    readonly afterElectionMs?: number;
  };

/** A fault and when to apply it, in ms since the plan began. */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** The faults of a scenario in ascending order of their times. */
export type FaultPlan = readonly PlannedFault[];

/** Whether a fault loses a disk, so that the next fault waits for it. */
export function hasDiskLoss(fault: Fault): boolean {
  switch (fault.kind) {
    case "loseDisk":
    case "replace":
    case "retire":
    case "loseAll":
      return true;
    case "restart":
    case "stop":
    case "restartInTransfer":
    case "pause":
    case "addStore":
    case "rollEntries":
      return false;
  }
}

const FIRST_LOSS_MS = 1_500;
const STORE_COUNT = 4;

/** Plan of seed 0: successive disk losses, the last with a total power loss. */
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

function pickStore(random: randomSources.RandomSource): StoreSelector {
  const index = random.drawInteger(0, STORE_COUNT - 1);
  return random.pick<StoreSelector>([
    { kind: "index", index },
    { kind: "index", index },
    { kind: "leader" },
    { kind: "spare" },
    { kind: "oldest" },
  ]);
}

/** Draws a fault that loses the disk of a store box. */
function drawDiskLoss(random: randomSources.RandomSource): Fault {
  const store = pickStore(random);
  const kind = random.pick(["loseDisk", "loseDisk", "replace", "retire"]);
  if (kind === "replace") return { kind, store, afterMs: 2_000 };
  if (kind === "retire") return { kind, store };
  return { kind: "loseDisk", store, downMs: random.drawInteger(300, 4_000) };
}

/** Draws a fault that loses no disk. */
function drawOtherFault(random: randomSources.RandomSource): Fault {
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

/** Draws a voter that counts, the one whose loss is worst more often. */
function pickCounted(random: randomSources.RandomSource): StoreSelector {
  return random.pick<StoreSelector>([
    { kind: "counted" },
    { kind: "counted" },
    { kind: "countedFollower" },
  ]);
}

/** Draws a planned or an unplanned restart, or a suspension, of a store box. */
function drawRestart(random: randomSources.RandomSource): Fault {
  const store = random.pick<StoreSelector>([
    { kind: "counted" },
    { kind: "countedFollower" },
    { kind: "spare" },
    { kind: "newest" },
  ]);
  return random.pick<Fault>([
    { kind: "stop", store },
    { kind: "stop", store },
    { kind: "restart", store, downMs: random.drawInteger(200, 2_000) },
    { kind: "restart", store, downMs: random.drawInteger(200, 2_000) },
    { kind: "pause", store, pauseMs: random.drawInteger(500, 3_000) },
  ]);
}

/**
 * Creates the fault plan of a scenario in which disks are lost in series, each
 * of a voter that counts, with restarts in between and a total power loss
 * shortly after an election.
 *
 * @param seed Seed of the generator.
 * @returns The plan; equal seeds give equal plans.
 */
export function createSeriesPlan(seed: number): FaultPlan {
  const random = new randomSources.RandomSource(seed);
  const plan: PlannedFault[] = [];
  let atMs = FIRST_LOSS_MS;
  const lossCount = random.drawInteger(3, 5);
  for (let count = 0; count < lossCount; count += 1) {
    const store = pickCounted(random);
    const downMs = random.drawInteger(300, 2_000);
    plan.push({ atMs, fault: { kind: "loseDisk", store, downMs } });
    if (random.drawInteger(0, 1) === 1) {
      const delayMs = random.drawInteger(300, 5_000);
      plan.push({ atMs: atMs + delayMs, fault: drawRestart(random) });
    }
    atMs += random.drawInteger(6_500, 9_000);
  }
  const afterElectionMs = random.drawInteger(0, 5_000);
  const store = pickCounted(random);
  plan.push({
    atMs,
    fault: { kind: "loseAll", store, downMs: 1_000, afterElectionMs },
  });
  return plan;
}

/**
 * Creates the fault plan of a scenario.
 *
 * @param seed Seed of the generator; 0 selects {@link SERIES_PLAN}.
 * @returns The plan; equal seeds give equal plans.
 */
export function createPlan(seed: number): FaultPlan {
  if (seed === 0) return SERIES_PLAN;
  const random = new randomSources.RandomSource(seed);
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
