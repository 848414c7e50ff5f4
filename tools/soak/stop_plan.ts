import * as randomSources from "../../src/fixtures/random_source.ts";

/** Signals that a box gets in a planned stop. */
export type StopSignals =
  /** One SIGTERM. */
  | "once"
  /** A second SIGTERM while the box drains. */
  | "twice"
  /** A SIGHUP while the box drains. */
  | "hangup";

/** Signals sent while a box drains. */
export const LATER_SIGNALS: Readonly<
  Record<StopSignals, readonly NodeJS.Signals[]>
> = { once: [], twice: ["SIGTERM"], hangup: ["SIGHUP"] };

/** Planned stop of one box; the box is started again after it has ended. */
export interface PlannedBoxStop {
  /** Time since the plan began, in ms. */
  readonly atMs: number;
  readonly kind: "entry" | "store";
  /** Index of the box among those of its kind. */
  readonly index: number;
  readonly signals: StopSignals;
}

const ENTRY_COUNT = 8;
const STORE_COUNT = 4;
const FIRST_STOP_MS = 1_000;

/**
 * Creates the planned stops of a scenario: series of entry boxes, one after the
 * other or overlapping, and some store boxes in between.
 *
 * @param seed Seed of the generator.
 * @returns The stops in ascending order of time; equal seeds give equal stops.
 */
export function createStops(seed: number): readonly PlannedBoxStop[] {
  const random = new randomSources.RandomSource(seed);
  const first = random.drawInteger(0, ENTRY_COUNT - 1);
  const count = random.drawInteger(3, 5);
  const stops: PlannedBoxStop[] = [];
  let atMs = FIRST_STOP_MS;
  for (let step = 0; step < count; step += 1) {
    const signals = random.pick<StopSignals>(["once", "twice", "hangup"]);
    const index = (first + step) % ENTRY_COUNT;
    stops.push({ atMs, kind: "entry", index, signals });
    atMs += random.drawInteger(200, 6_000);
  }
  const index = random.drawInteger(0, STORE_COUNT - 1);
  const storeAtMs = random.drawInteger(FIRST_STOP_MS, atMs);
  stops.push({ atMs: storeAtMs, kind: "store", index, signals: "once" });
  return stops.toSorted((a, b) => a.atMs - b.atMs);
}
