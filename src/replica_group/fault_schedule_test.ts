import * as randomSources from "../fixtures/random_source.ts";

/**
 * The box that a fault hits, by its role at that time. A `spare` is not a voter;
 * `lost` is a box that still counts as lost after an earlier fault.
 */
export type Target = "leader" | "follower" | "otherFollower" | "spare" | "lost";

/**
 * A fault. `startMs` is the delay until the process starts again, in ms;
 * `keptWrites` is the number of unsynced writes that survive a power loss.
 */
export type Fault =
  /** All boxes lose power and keep their disks. */
  | {
    readonly kind: "powerOfAll";
    readonly startMs: readonly number[];
    readonly keptWrites: number;
  }
  /** A box loses power and keeps its disk. */
  | {
    readonly kind: "powerOfOne";
    readonly target: Target;
    readonly startMs: number;
    readonly keptWrites: number;
  }
  /** A box loses power and its disk. */
  | {
    readonly kind: "disk";
    readonly target: Target;
    readonly startMs: number;
  }
  /** All boxes lose power, and one of them its disk. */
  | {
    readonly kind: "diskAndPowerOfAll";
    readonly target: Target;
    readonly startMs: readonly number[];
  }
  /** A box is removed, and an empty one with another id replaces it. */
  | {
    readonly kind: "gone";
    readonly target: Target;
    readonly startMs: number;
  }
  /** The process of a box is paused. */
  | { readonly kind: "freeze"; readonly target: Target; readonly ms: number }
  /** Messages from a box, to it, or both are dropped. */
  | {
    readonly kind: "cut";
    readonly target: Target;
    readonly direction: "out" | "in" | "both";
    readonly ms: number;
  }
  /** A planned restart: the box announces it and hands leadership over. */
  | {
    readonly kind: "restart";
    readonly target: Target;
    readonly startMs: number;
  }
  /** A box is retired, and removed once the leader reports that as completed. */
  | {
    readonly kind: "retire";
    readonly target: Target;
    readonly startMs: number;
    /** Time from the completion of the retirement to the removal, in ms. */
    readonly takenMs: number;
  }
  /** The wall clock of a box is moved by some ms. */
  | { readonly kind: "clock"; readonly target: Target; readonly byMs: number }
  /** The syncs of a disk take longer by a factor. */
  | {
    readonly kind: "slowDisk";
    readonly target: Target;
    readonly factor: number;
    readonly ms: number;
  };

/** A fault and its time, in ms after the previous one. */
export interface ScheduledFault {
  readonly afterMs: number;
  readonly fault: Fault;
}

/** Profiles of disk speed and command rate, from light to heavy. */
export type Load = "quiet" | "busy" | "slow";

/** The options of a cluster and the faults that hit it. */
export interface Schedule {
  readonly load: Load;
  /**
   * Whether the time to catch up begins when a start is scheduled instead of
   * when the process runs. If set, a power loss of all boxes does not mark them
   * as lost.
   */
  readonly isStrict?: boolean;
  readonly syncMs: number;
  readonly entries: number;
  readonly commandsPerS: number;
  readonly entryMs: number;
  readonly snapshotEntries: number;
  readonly leaseMs: number | undefined;
  readonly faults: readonly ScheduledFault[];
  /** The last fault, after which a leader must be elected. */
  readonly last: Extract<Fault, { kind: "diskAndPowerOfAll" }>;
}

const TARGETS: readonly Target[] = [
  "leader",
  "follower",
  "otherFollower",
  "spare",
  "lost",
];
const KINDS: readonly Fault["kind"][] = [
  "powerOfAll",
  "powerOfOne",
  "disk",
  "disk",
  "diskAndPowerOfAll",
  "gone",
  "freeze",
  "cut",
  "restart",
  "retire",
  "clock",
  "slowDisk",
];
const DIRECTIONS = ["out", "in", "both"] as const;
const BOX_COUNT = 5;
const MIN_START_DELAY_MS = 300;
const MAX_START_DELAY_MS = 4_000;
const MAX_INTERVAL_MS = 5_000;
const MAX_DURATION_MS = 6_000;
const MAX_CLOCK_STEP_MS = 20_000;

/** Draws the parts of a schedule from a seeded generator. */
class ScheduleGenerator extends randomSources.RandomSource {
  drawStartDelay(): number {
    const isFast = this.drawInteger(0, 1) === 0;
    return isFast
      ? MIN_START_DELAY_MS
      : this.drawInteger(MIN_START_DELAY_MS, MAX_START_DELAY_MS);
  }

  drawStartDelays(): readonly number[] {
    const isSame = this.drawInteger(0, 1) === 0;
    const first = this.drawStartDelay();
    return Array.from(
      { length: BOX_COUNT },
      () => isSame ? first : this.drawStartDelay(),
    );
  }

  drawFault(): Fault {
    const kind = this.pick(KINDS);
    const target = this.pick(TARGETS);
    const startMs = this.drawStartDelay();
    const ms = this.drawInteger(100, MAX_DURATION_MS);
    switch (kind) {
      case "powerOfAll":
        return {
          kind,
          startMs: this.drawStartDelays(),
          keptWrites: this.drawInteger(0, 1),
        };
      case "diskAndPowerOfAll":
        return { kind, target, startMs: this.drawStartDelays() };
      case "powerOfOne":
        return { kind, target, startMs, keptWrites: this.drawInteger(0, 1) };
      case "disk":
      case "gone":
      case "restart":
        return { kind, target, startMs };
      case "retire":
        return { kind, target, startMs, takenMs: this.pick([0, 100, 1_000]) };
      case "freeze":
        return { kind, target, ms };
      case "cut":
        return { kind, target, ms, direction: this.pick(DIRECTIONS) };
      case "clock":
        return {
          kind,
          target,
          byMs: this.drawInteger(-MAX_CLOCK_STEP_MS, MAX_CLOCK_STEP_MS),
        };
      case "slowDisk":
        return { kind, target, ms, factor: this.pick([2, 4, 10]) };
    }
  }

  drawLast(): Schedule["last"] {
    return {
      kind: "diskAndPowerOfAll",
      target: this.pick(TARGETS.filter((target) => target !== "lost")),
      startMs: this.drawStartDelays(),
    };
  }

  drawLoad(load: Load): Omit<Schedule, "faults" | "last" | "load"> {
    const leaseMs = this.pick([undefined, 3_000]);
    switch (load) {
      case "quiet":
        return {
          leaseMs,
          syncMs: this.pick([1, 3]),
          entries: this.pick([20, 200]),
          commandsPerS: this.pick([0, 10]),
          entryMs: 0,
          snapshotEntries: this.pick([100, 4_096]),
        };
      case "busy":
        return {
          leaseMs,
          syncMs: this.pick([1, 5, 10]),
          entries: this.pick([200, 1_000]),
          commandsPerS: this.pick([20, 50]),
          entryMs: this.pick([0, 0.2]),
          snapshotEntries: this.pick([200, 1_000, 4_096]),
        };
      case "slow":
        return {
          leaseMs,
          syncMs: this.pick([10, 20, 40]),
          entries: this.pick([200, 1_650, 2_600]),
          commandsPerS: this.pick([50, 200]),
          entryMs: this.pick([0, 0.5]),
          snapshotEntries: this.pick([200, 4_096]),
        };
    }
  }
}

/**
 * Draws a random schedule.
 *
 * @param seed The same seed gives the same schedule.
 * @param load The profile of the cluster.
 * @param count Number of faults before the last one.
 */
export function drawSchedule(
  seed: number,
  load: Load,
  count: number,
): Schedule {
  const scheduleGenerator = new ScheduleGenerator(seed);
  const faults = Array.from({ length: count }, () => ({
    afterMs: scheduleGenerator.drawInteger(0, MAX_INTERVAL_MS),
    fault: scheduleGenerator.drawFault(),
  }));
  return {
    load,
    ...scheduleGenerator.drawLoad(load),
    faults,
    last: scheduleGenerator.drawLast(),
  };
}
