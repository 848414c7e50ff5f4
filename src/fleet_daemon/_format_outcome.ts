import type * as dialects from "../dialect/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as results from "../results/mod.ts";
import * as endToEndHeaders from "./_end_to_end_headers.ts";

/**
 * Formats the outcome of a forwarded request as the answer to its caller.
 *
 * @param outcome The outcome.
 * @param dialect Formats failures.
 * @returns The answer; undefined if the caller has disconnected.
 */
export function formatOutcome(
  outcome: forwarding.ForwardOutcome,
  dialect: dialects.Dialect,
): dialects.RawAnswer | undefined {
  const failure = describeFailure(outcome);
  if (failure !== undefined) return dialect.formatFailure(failure);
  if (outcome.kind !== "answered") return undefined;
  const { status, headers, body, isFramed } = outcome.answer;
  return {
    status,
    headers: endToEndHeaders.toEndToEndHeaders(headers),
    body,
    isCloseDelimited: !isFramed,
  };
}

function describeFailure(
  outcome: forwarding.ForwardOutcome,
): results.Failure | undefined {
  switch (outcome.kind) {
    case "notRun":
      return results.createFailure(
        "noBackendServer",
        `Cannot serve: ${outcome.reason}`,
        { retryAfterMs: outcome.returnMs },
      ).failure;
    case "heldBack":
      return results.createFailure(
        "workHeldBack",
        `Cannot serve: ${outcome.reason}`,
        { retryAfterMs: outcome.returnMs },
      ).failure;
    case "failed":
      return results.createFailure(
        "backendFailed",
        `Cannot answer: ${outcome.reason}`,
        { outcome: "unknown" },
      ).failure;
    case "expired":
      return results.createFailure(
        "deadlineExceeded",
        "Cannot answer in time",
        { outcome: outcome.wasSent ? "unknown" : "notRun" },
      ).failure;
    case "answered":
    case "abandoned":
      return undefined;
  }
}
