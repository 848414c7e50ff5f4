import type * as clocks from "../clock/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import type * as itemTasks from "./item_task.ts";

/** What scoring needs. */
export interface ScoringOptions {
  readonly clock: clocks.Clock;
  readonly forwarder: forwarding.Forwarder;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly draw: () => number;
}

/** How a scoring call ended. */
export type ScoreOutcome =
  | { readonly kind: "scored"; readonly score: string }
  /** The scorer answered that this attempt failed. */
  | { readonly kind: "failed"; readonly attempts: number }
  /** No answer; the call can be repeated. */
  | {
    readonly kind: "unanswered";
    readonly reason: string;
    /** When to try again at the earliest, in ms from now. */
    readonly retryAfterMs?: number;
  };

const MIN_NON_SUCCESS_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;
/** Silence after which another scorer is asked too, in target latencies. */
const HEDGE_RATIO = 1;

/**
 * Has a finished text scored by the route of its scoring call.
 *
 * @param task The item.
 * @param options Where to send the call.
 * @returns The receipt of the scorer, or why there is none.
 */
export async function scoreItem(
  task: itemTasks.ItemTask,
  options: ScoringOptions,
): Promise<ScoreOutcome> {
  const { scoring } = task.item;
  const configuration = options.configuration.get();
  if (scoring === undefined || configuration === undefined) {
    return { kind: "unanswered", reason: "no scoring call is known" };
  }
  const { host, path, id, body } = scoring;
  const route = trafficConfig.matchRoute(configuration, host, path);
  if (route === undefined) {
    return { kind: "unanswered", reason: "no route fits the scoring call" };
  }
  const nowMs = options.clock.getMonotonicMs();
  const outcome = await options.forwarder.send({
    requestId: id,
    // Scoring calls belong to no account, whoever sent the submission.
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
    retriesErrors: false,
    hedgeMs: route.targetLatencyMs * HEDGE_RATIO,
    cancellation: task.cancellation,
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
  return { kind: "unanswered", reason: `the scorer answered ${status}` };
}
