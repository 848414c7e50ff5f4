/** Weight of the newest duration in the mean and in the deviation. */
const SMOOTHING_FACTOR = 0.125;
/** Largest number of kinds; the one recorded first is dropped beyond it. */
const MAX_KINDS = 1_024;

/** Moving mean and mean deviation of the durations of one kind, in ms. */
export interface DurationStatistics {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Estimates how long a request takes, from earlier ones of its kind. */
export class DurationEstimates {
  readonly #statistics = new Map<string, DurationStatistics>();

  /** Records the duration of an answered request, in ms. */
  record(kind: string, durationMs: number): void {
    const known = this.#statistics.get(kind);
    this.#statistics.set(kind, updateStatistics(known, durationMs));
    if (this.#statistics.size <= MAX_KINDS) return;
    const [oldest] = this.#statistics.keys();
    if (oldest !== undefined) this.#statistics.delete(oldest);
  }

  /** Returns what is known of a kind; undefined if nothing was recorded. */
  get(kind: string): DurationStatistics | undefined {
    return this.#statistics.get(kind);
  }
}

function updateStatistics(
  known: DurationStatistics | undefined,
  durationMs: number,
): DurationStatistics {
  if (known === undefined) return { meanMs: durationMs, deviationMs: 0 };
  const difference = durationMs - known.meanMs;
  const deviationChange = Math.abs(difference) - known.deviationMs;
  return {
    meanMs: known.meanMs + difference * SMOOTHING_FACTOR,
    deviationMs: known.deviationMs + deviationChange * SMOOTHING_FACTOR,
  };
}
