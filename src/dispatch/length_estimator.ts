import type * as itemTasks from "./item_task.ts";

/** Events a hinted token stands for before any item has ended. */
const DEFAULT_EVENTS_PER_TOKEN = 1 / 50;
/** Events of an item without a hint before any item has ended. */
const DEFAULT_EVENTS = 25;
/** Weight of the newest item in what is learned. */
const SMOOTHING_FACTOR = 0.05;
/**
 * Events that a run past its expected end is taken to need still, as a share of
 * those it made: lengths vary so much that a run which came this far is likely
 * to be a long one.
 */
const OVERDUE_RATIO = 0.4;
/** Least events that a run is taken to need still. */
const MIN_REMAINING_EVENTS = 2;

/** What is learned of the items of one model. */
interface LengthStatistics {
  /** Mean natural logarithm of events a hinted token. */
  readonly logEventsPerToken: number;
  readonly meanEvents: number;
}

const DEFAULT_STATISTICS: LengthStatistics = {
  logEventsPerToken: Math.log(DEFAULT_EVENTS_PER_TOKEN),
  meanEvents: DEFAULT_EVENTS,
};

/** How many events items will make, learned from those that have ended. */
export class LengthEstimator {
  readonly #statistics = new Map<string, LengthStatistics>();

  /** Learns from an item whose text is whole. */
  recordLength(task: itemTasks.ItemTask): void {
    const model = task.getModel() ?? "";
    const events = task.progress.countMade();
    if (events === 0) return;
    const previous = this.#get(model);
    const hint = task.item.lengthHint;
    const logEventsPerToken = hint === undefined || hint <= 0
      ? previous.logEventsPerToken
      : updateMean(previous.logEventsPerToken, Math.log(events / hint));
    this.#statistics.set(model, {
      logEventsPerToken: logEventsPerToken,
      meanEvents: updateMean(previous.meanEvents, events),
    });
  }

  /** Events that an item is expected to make still. */
  estimateRemaining(task: itemTasks.ItemTask): number {
    const { logEventsPerToken: logEventsPerToken, meanEvents: meanEvents } =
      this.#get(task.getModel() ?? "");
    const hint = task.item.lengthHint;
    const expected = hint === undefined || hint <= 0
      ? meanEvents
      : hint * Math.exp(logEventsPerToken);
    return estimateRemainingEvents(expected, task.progress.countMade());
  }

  #get(model: string): LengthStatistics {
    return this.#statistics.get(model) ?? DEFAULT_STATISTICS;
  }
}

/**
 * Estimates the events that a run is to make still.
 *
 * @param expected Events that it is expected to make in all.
 * @param generated Events that it made.
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

/** Moves a mean towards the newest value. */
function updateMean(mean: number, newest: number): number {
  return mean + (newest - mean) * SMOOTHING_FACTOR;
}
