/** Windows of wall-clock time in which usage is counted. */
export interface WindowTimings {
  /** Length of a window, in ms; window k begins k lengths after 1970. */
  readonly windowMs: number;
  /** Time after a window's end at which its report is due, in ms. */
  readonly reportDelayMs: number;
}

/** Requests that began to run, by the name of their client account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** A window and what is reported of it. */
export interface ClosedWindow {
  readonly window: number;
  readonly counts: UsageCounts;
}

/**
 * Share of the time until a report is due for which totals are awaited. What
 * boxes tell late is lost to the report; what remains is for its way, and for
 * another holder, which takes some 3.3 s to begin.
 */
const SETTLE_FRACTION = 0.4;
/**
 * Age up to which windows are still reported, as a multiple of the time until
 * they are due. Older ones help nobody, as after an hour without a quorum.
 */
const STALE_FACTOR = 3;

/**
 * Says which window a moment lies in.
 *
 * @param wallMs Wall time, in ms.
 * @param times Windows.
 * @returns The window's number.
 */
export function getWindow(wallMs: number, times: WindowTimings): number {
  return Math.floor(wallMs / times.windowMs);
}

/**
 * Lists the windows whose counts should be agreed on now, oldest first.
 *
 * @param lastClosed Newest window that is agreed on; undefined for none.
 * @param wallMs Wall time, in ms.
 * @param times Windows.
 * @returns Windows that ended long enough ago; where none was agreed on before,
 * the newest of them alone.
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
 * Gives the oldest window that is still counted and reported.
 *
 * @param wallMs Wall time, in ms.
 * @param times Windows.
 * @returns The window's number.
 */
export function getOldestWindow(wallMs: number, times: WindowTimings): number {
  return getWindow(wallMs - STALE_FACTOR * times.reportDelayMs, times);
}
