import type * as clocks from "../clock/mod.ts";
import type * as results from "../results/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as storeTimeouts from "./_store_timeouts.ts";

/**
 * Longest wait requested in one call, in ms. A call to a failed replica times
 * out after this plus `REPLY_MARGIN_MS`.
 */
const CALL_WAIT_MS = 400;
/** Time allowed for a reply beyond the requested wait, in ms. */
const REPLY_MARGIN_MS = 500;

/** Options of `pollResults`. */
export interface PollOptions {
  readonly clock: clocks.Clock;
  /** Longest total wait for results, in ms. */
  readonly waitMs: number;
  /**
   * Returns the time by which the read must have ended, in monotonic ms. It may
   * become earlier during the read, as when the box begins to stop.
   */
  readonly getDeadlineMs: () => number;
  /**
   * Reads one page.
   *
   * @param waitMs How long the replica may wait for results, in ms.
   * @param timeoutMs Timeout of the call to one replica, in ms.
   */
  readonly readOnce: (
    waitMs: number,
    timeoutMs: number,
  ) => Promise<results.Result<submissions.ResultPage>>;
}

/**
 * Waits for results with a sequence of short calls, so that an unresponsive
 * replica delays the read by one call and not by the whole wait.
 *
 * @param options The longest wait and the function that reads a page.
 * @returns The first page that has results or ends the submission, else the
 * last empty page; the failure of the first call that fails.
 */
export async function pollResults(
  options: PollOptions,
): Promise<results.Result<submissions.ResultPage>> {
  const { clock, waitMs, getDeadlineMs, readOnce } = options;
  const endMs = clock.getMonotonicMs() + waitMs;
  for (;;) {
    const waitEndMs = Math.min(
      endMs,
      getDeadlineMs() - storeTimeouts.STORE_CALL_MS,
    );
    const remainingMs = Math.max(0, waitEndMs - clock.getMonotonicMs());
    const callWaitMs = Math.min(remainingMs, CALL_WAIT_MS);
    const page = await readOnce(callWaitMs, callWaitMs + REPLY_MARGIN_MS);
    if (page.kind === "failure") return page;
    const { results: found, isEnded } = page.value;
    if (found.length > 0 || isEnded || remainingMs <= CALL_WAIT_MS) return page;
  }
}
