import type * as itemTasks from "./item_task.ts";

/** Events per token of a length hint before any item has finished. */
const DEFAULT_EVENTS_PER_TOKEN = 1 / 50;
/** Events expected of an item without a hint before any item has finished. */
const DEFAULT_EVENTS = 25;
/** Weight of a new item in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.05;
/**
 * Minimum expected remaining events as a share of those generated. Lengths vary
 * widely, so a run beyond its expected length is likely to be a long one.
 */
const OVERDUE_RATIO = 0.4;
/** Minimum expected remaining events of any run. */
const MIN_REMAINING_EVENTS = 2;

/** Moving averages over the finished items of one model. */
interface LengthStatistics {
  /** Mean natural logarithm of events per hinted token. */
  readonly logEventsPerToken: number;
  readonly meanEvents: number;
}

const DEFAULT_STATISTICS: LengthStatistics = {
  logEventsPerToken: Math.log(DEFAULT_EVENTS_PER_TOKEN),
  meanEvents: DEFAULT_EVENTS,
};

/** Estimates how many events items generate, from finished items per model. */
export class LengthEstimator {
  readonly #statistics = new Map<string, LengthStatistics>();

  /** Updates the model's averages with an item whose text is complete. */
  recordLength(task: itemTasks.ItemTask): void {
    const model = task.getModel() ?? "";
    const events = task.progress.countGeneratedEvents();
    if (events === 0) return;
    const previous = this.#get(model);
    const hint = task.item.lengthHint;
    const logEventsPerToken = hint === undefined || hint <= 0
      ? previous.logEventsPerToken
      : updateMean(previous.logEventsPerToken, Math.log(events / hint));
    this.#statistics.set(model, {
      logEventsPerToken,
      meanEvents: updateMean(previous.meanEvents, events),
    });
  }

  /** Estimates the events that an item has yet to generate. */
  estimateRemaining(task: itemTasks.ItemTask): number {
    const { logEventsPerToken, meanEvents } = this.#get(task.getModel() ?? "");
    const hint = task.item.lengthHint;
    const expected = hint === undefined || hint <= 0
      ? meanEvents
      : hint * Math.exp(logEventsPerToken);
    return estimateRemainingEvents(
      expected,
      task.progress.countGeneratedEvents(),
    );
  }

  #get(model: string): LengthStatistics {
    return this.#statistics.get(model) ?? DEFAULT_STATISTICS;
  }
}

/**
 * Estimates the events that a run has yet to generate.
 *
 * @param expected Expected total number of events.
 * @param generated Events generated so far.
 */
export function estimateRemainingEvents(
  expected: number,
  generated: number,
): number {
  return Math.max(
    expected - generated,
    generated * OVERDUE_RATIO,
    MIN_REMAINING_EVENTS,
  );
}

/** Updates an exponential moving average with a new value. */
function updateMean(mean: number, newest: number): number {
  return mean + (newest - mean) * SMOOTHING_FACTOR;
}
