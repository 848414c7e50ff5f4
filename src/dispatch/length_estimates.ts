import type * as itemTasks from "./item_task.ts";

/** Events a hinted token stands for before any item has ended. */
const FIRST_RATIO = 1 / 50;
/** Events of an item without a hint before any item has ended. */
const FIRST_EVENTS = 25;
/** Weight of the newest item in what is learned. */
const NEWEST_SHARE = 0.05;
/**
 * Events that a run past its expected end is taken to need still, as a share of
 * those it made: lengths vary so much that a run which came this far is likely
 * to be a long one.
 */
const OVERDUE_SHARE = 0.4;
/** Least events that a run is taken to need still. */
const MIN_REMAINING = 2;

/** What is learned of the items of one model. */
interface LengthHistory {
  /** Mean natural logarithm of events a hinted token. */
  readonly logRatio: number;
  readonly events: number;
}

const FIRST_HISTORY: LengthHistory = {
  logRatio: Math.log(FIRST_RATIO),
  events: FIRST_EVENTS,
};

/** How many events items will make, learned from those that have ended. */
export class LengthEstimates {
  readonly #histories = new Map<string, LengthHistory>();

  /** Learns from an item whose text is whole. */
  note(task: itemTasks.ItemTask): void {
    const model = task.getModel() ?? "";
    const events = task.progress.countGeneratedEvents();
    if (events === 0) return;
    const known = this.#get(model);
    const hint = task.item.lengthHint;
    const logRatio = hint === undefined || hint <= 0
      ? known.logRatio
      : merge(known.logRatio, Math.log(events / hint));
    this.#histories.set(model, {
      logRatio,
      events: merge(known.events, events),
    });
  }

  /** Events that an item is expected to make still. */
  estimateRemaining(task: itemTasks.ItemTask): number {
    const { logRatio, events } = this.#get(task.getModel() ?? "");
    const hint = task.item.lengthHint;
    const whole = hint === undefined || hint <= 0
      ? events
      : hint * Math.exp(logRatio);
    return estimateRemainingEvents(whole, task.progress.countGeneratedEvents());
  }

  #get(model: string): LengthHistory {
    return this.#histories.get(model) ?? FIRST_HISTORY;
  }
}

/**
 * Estimates the events that a run is to make still.
 *
 * @param whole Events that it is expected to make in all.
 * @param made Events that it made.
 */
export function estimateRemainingEvents(whole: number, made: number): number {
  return Math.max(whole - made, made * OVERDUE_SHARE, MIN_REMAINING);
}

/** Moves a mean towards the newest value. */
function merge(known: number, newest: number): number {
  return known + (newest - known) * NEWEST_SHARE;
}
