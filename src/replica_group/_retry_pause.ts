/** First pause, in ms; well below the time of an election. */
const FIRST_PAUSE_MS = 40;
/** Longest pause, in ms. */
const MAX_PAUSE_MS = 320;
/** Attempts followed by the first pause: one at a former leader, one at a new one. */
const QUICK_ATTEMPTS = 2;
/** Share by which a pause may be shorter or longer. */
const JITTER = 0.25;
/** A draw that leaves a pause as it is. */
const MEAN_DRAW = 0.5;

/**
 * Computes the pause after an attempt that found no leader. Pauses grow, since a
 * leader that is late would be kept late by calls that come again and again.
 *
 * @param attempts Number of attempts so far.
 * @param draw Random number in [0, 1) that shortens or lengthens the pause.
 * @returns The pause in ms.
 */
export function computePauseMs(attempts: number, draw = MEAN_DRAW): number {
  const doublings = Math.max(0, attempts - QUICK_ATTEMPTS);
  const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** doublings);
  return pauseMs * (1 + JITTER * (2 * draw - 1));
}
