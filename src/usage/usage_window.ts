/** Length and report delay of the wall-clock windows in which usage is counted. */
export interface WindowTimings {
  /** Length of a window, in ms; window k begins k lengths after the Unix epoch. */
  readonly windowMs: number;
  /** Time from the end of a window until its report is due, in ms. */
  readonly reportDelayMs: number;
}

/** Number of requests that began to run, by name of their client account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** A window with its final counts. */
export interface ClosedWindow {
  readonly window: number;
  readonly counts: UsageCounts;
}

/**
 * Fraction of the report delay after which a window is closed. Totals that arrive
 * later are not reported; the rest of the delay is left for sending the report,
 * and for a failover to another box, which takes over after some 3.3 s.
 */
const SETTLE_FRACTION = 0.4;
/**
 * Age up to which windows are still reported, as a multiple of the report delay.
 * Older ones help nobody, as after an hour without a quorum.
 */
const STALE_FACTOR = 3;

/**
 * Returns the window that contains a point in time.
 *
 * @param wallMs Wall-clock time, in Unix ms.
 * @param times Window length and report delay.
 * @returns Number of the window.
 */
export function getWindow(wallMs: number, times: WindowTimings): number {
  return Math.floor(wallMs / times.windowMs);
}

/**
 * Lists the windows that are due to be closed, oldest first.
 *
 * @param lastClosed Latest closed window; undefined for none.
 * @param wallMs Wall-clock time, in Unix ms.
 * @param times Window length and report delay.
 * @returns The due windows after the last closed one, without stale ones; only
 * the latest due window if none has been closed.
 */
export function listDueWindows(
  lastClosed: number | undefined,
  wallMs: number,
  times: WindowTimings,
): readonly number[] {
  const settleMs = times.reportDelayMs * SETTLE_FRACTION;
  const newest = getWindow(wallMs - settleMs, times) - 1;
  const oldest = getOldestWindow(wallMs, times);
  const first = lastClosed === undefined
    ? newest
    : Math.max(lastClosed + 1, oldest);
  const count = Math.max(0, newest - first + 1);
  return Array.from({ length: count }, (_, index) => first + index);
}

/**
 * Returns the oldest window that is still counted and reported.
 *
 * @param wallMs Wall-clock time, in Unix ms.
 * @param times Window length and report delay.
 * @returns Number of the window.
 */
export function getOldestWindow(wallMs: number, times: WindowTimings): number {
  return getWindow(wallMs - STALE_FACTOR * times.reportDelayMs, times);
}
