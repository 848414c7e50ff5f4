import type * as clocks from "../clock/mod.ts";
import type * as results from "../results/mod.ts";
import type * as submissions from "../submission/mod.ts";

/**
 * Longest wait that one call to the stores' leader asks for, in ms. A leader
 * that lost power says nothing; it is found out after this and `EXTRA_MS`.
 */
const CALL_WAIT_MS = 400;
/** Time that an answer may take beyond the wait that was asked for, in ms. */
const REPLY_MARGIN_MS = 500;

/** A read that may wait for results. */
export interface PollOptions {
  readonly clock: clocks.Clock;
  /** How long its caller allows it to wait, in ms. */
  readonly waitMs: number;
  /**
   * Reads once.
   *
   * @param waitMs How long the leader may wait, in ms.
   * @param timeoutMs How long one replica may take to answer, in ms.
   */
  readonly readOnce: (
    waitMs: number,
    timeoutMs: number,
  ) => Promise<results.Result<submissions.ResultPage>>;
}

/**
 * Waits for results in slices, so that a leader that fell silent costs its
 * caller less than the whole wait.
 *
 * @param options The read.
 * @returns The first page with results, the last empty one, or a failure.
 */
export async function pollResults(
  options: PollOptions,
): Promise<results.Result<submissions.ResultPage>> {
  const { clock, waitMs, readOnce } = options;
  const endMs = clock.getMonotonicMs() + waitMs;
  for (;;) {
    const remainingMs = Math.max(0, endMs - clock.getMonotonicMs());
    const callWaitMs = Math.min(remainingMs, CALL_WAIT_MS);
    const page = await readOnce(callWaitMs, callWaitMs + REPLY_MARGIN_MS);
    if (page.kind === "failure") return page;
    const { results: found, isEnded } = page.value;
    if (found.length > 0 || isEnded || remainingMs <= CALL_WAIT_MS) return page;
  }
}
