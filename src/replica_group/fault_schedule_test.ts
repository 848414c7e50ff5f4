import * as uniform from "pure-rand/distribution/uniformInt";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/** A box by the part that it plays when a fault comes. */
export type Target = "leader" | "follower" | "otherFollower" | "spare" | "lost";

/** What happens to the boxes. */
export type Fault =
  /** All lose power and keep their disks. */
  | {
    readonly kind: "powerOfAll";
    readonly startMs: readonly number[];
    readonly keptWrites: number;
  }
  /** One loses power and keeps its disk. */
  | {
    readonly kind: "powerOfOne";
    readonly target: Target;
    readonly startMs: number;
    readonly keptWrites: number;
  }
  /** One loses its disk. */
  | {
    readonly kind: "disk";
    readonly target: Target;
    readonly startMs: number;
  }
  /** All lose power, and one its disk. */
  | {
    readonly kind: "diskAndPowerOfAll";
    readonly target: Target;
    readonly startMs: readonly number[];
  }
  /** One is gone for good; an empty one at another address comes for it. */
  | {
    readonly kind: "gone";
    readonly target: Target;
    readonly startMs: number;
  }
  /** One stands still for a while. */
  | { readonly kind: "freeze"; readonly target: Target; readonly ms: number }
  | {
    readonly kind: "cut";
    readonly target: Target;
    readonly direction: "out" | "in" | "both";
    readonly ms: number;
  }
  /** A planned stop, announced before. */
  | {
    readonly kind: "restart";
    readonly target: Target;
    readonly startMs: number;
  }
  /** One is emptied, and goes for good once that is told. */
  | {
    readonly kind: "retire";
    readonly target: Target;
    readonly startMs: number;
    /** Time from the answer until it is taken away, in ms. */
    readonly takenMs: number;
  }
  /** One wall clock is set. */
  | { readonly kind: "clock"; readonly target: Target; readonly byMs: number }
  /** One disk is slower for a while. */
  | {
    readonly kind: "slowDisk";
    readonly target: Target;
    readonly factor: number;
    readonly ms: number;
  };

/** A fault and when it comes, in ms after the one before. */
export interface ScheduledFault {
  readonly afterMs: number;
  readonly fault: Fault;
}

/** Deployments that schedules are drawn for, from the easiest on. */
export type Load = "quiet" | "busy" | "slow";

/** A deployment and what happens to it. */
export interface Schedule {
  readonly load: Load;
  /**
   * Whether the while after a return counts from the launch of the process,
   * where it counts from the time that the process runs otherwise; a loss of
   * power of all boxes does not count then.
   */
  readonly isStrict?: boolean;
  readonly syncMs: number;
  readonly entries: number;
  readonly commandsPerS: number;
  readonly entryMs: number;
  readonly snapshotEntries: number;
  readonly leaseMs: number | undefined;
  readonly faults: readonly ScheduledFault[];
  /** The last one, from which a leader must come. */
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

/** Draws the parts of a schedule from a seed. */
class ScheduleGenerator {
  readonly #random: ReturnType<typeof generator.xoroshiro128plus>;

  constructor(seed: number) {
    this.#random = generator.xoroshiro128plus(seed);
  }

  drawInteger(min: number, max: number): number {
    return uniform.uniformInt(this.#random, min, max);
  }

  pick<T>(items: readonly T[]): T {
    return items[this.drawInteger(0, items.length - 1)] as T;
  }

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
 * Draws a schedule.
 *
 * @param seed The same seed gives the same schedule.
 * @param load The deployment.
 * @param count Number of faults.
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
