import type * as clocks from "../clock/mod.ts";
import type * as csp from "../csp/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import type * as submissions from "../submission/mod.ts";

/** An item whose text is complete. */
export interface CompletedItem {
  readonly item: Pick<submissions.SubmissionItem, "scoring">;
  /** Cancels the scoring call. */
  readonly cancellation: csp.Cancellation;
}

/** Options for scoring. */
export interface ScoringOptions {
  readonly clock: clocks.Clock;
  readonly forwarder: Pick<forwarding.Forwarder, "send">;
  readonly configuration: Pick<trafficConfig.ConfigurationHolder, "get">;
  /** Returns a random number in [0, 1). */
  readonly draw: () => number;
}

/** Outcome of a scoring call. */
export type ScoreOutcome =
  | { readonly kind: "scored"; readonly score: string }
  /** The scorer responded with a server error. */
  | { readonly kind: "failed"; readonly attempts: number }
  /** There was no usable response; the call can be retried. */
  | {
    readonly kind: "unanswered";
    readonly reason: string;
    /** Minimum delay before a retry, in ms. */
    readonly retryAfterMs?: number;
  };

const MIN_NON_SUCCESS_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;
/** Delay before a hedged request, as a multiple of the target latency. */
const HEDGE_RATIO = 1;

/**
 * Scores a completed text with a call through the route of its scoring path.
 *
 * @param completed The item.
 * @param options Forwarder and configuration to send the call with.
 * @returns The scorer's receipt, or why there is none.
 */
export async function scoreItem(
  { item, cancellation }: CompletedItem,
  options: ScoringOptions,
): Promise<ScoreOutcome> {
  const { scoring } = item;
  const configuration = options.configuration.get();
  if (scoring === undefined || configuration === undefined) {
    return {
      kind: "unanswered",
      reason: "the item has no scoring call or no configuration is loaded",
    };
  }
  const { host, path, id, body } = scoring;
  const route = trafficConfig.matchRoute(configuration, host, path);
  if (route === undefined) {
    return { kind: "unanswered", reason: "no route matches the scoring call" };
  }
  const nowMs = options.clock.getMonotonicMs();
  const outcome = await options.forwarder.send({
    requestId: id,
    // Scoring calls are not attributed to the submission's client account.
    sender: { kind: "anonymous" },
    service: trafficConfig.pickService(route, options.draw()),
    method: "POST",
    target: path,
    headers: { host },
    body: Buffer.from(body, "base64"),
    priority: route.priority,
    targetAtMs: nowMs + route.targetLatencyMs,
    deadlineAtMs: nowMs + route.timeoutMs,
    maxAttempts: route.attempts,
    isRepeatable: true,
    isOwed: true,
    retriesErrors: false,
    hedgeMs: route.targetLatencyMs * HEDGE_RATIO,
    cancellation,
  });
  if (outcome.kind !== "answered") {
    const reason = "reason" in outcome ? outcome.reason : outcome.kind;
    if (outcome.kind !== "heldBack") return { kind: "unanswered", reason };
    return { kind: "unanswered", reason, retryAfterMs: outcome.returnMs };
  }
  const { status, head } = outcome.answer;
  if (status < MIN_NON_SUCCESS_STATUS && head.receipt !== undefined) {
    return { kind: "scored", score: head.receipt };
  }
  if (status >= MIN_SERVER_ERROR_STATUS) {
    return { kind: "failed", attempts: route.attempts };
  }
  return {
    kind: "unanswered",
    reason: `the scorer responded with status ${status}`,
  };
}
