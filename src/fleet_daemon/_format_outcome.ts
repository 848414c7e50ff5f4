import type * as dialects from "../dialect/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as endToEndHeaders from "./_end_to_end_headers.ts";
import * as formatRefusals from "./_format_refusal.ts";

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
  switch (outcome.kind) {
    case "answered": {
      const { status, headers, body } = outcome.answer;
      return {
        status,
        headers: endToEndHeaders.toEndToEndHeaders(headers),
        body,
      };
    }
    case "notRun":
      return formatRefusals.formatRefusal(
        dialect,
        "noBackendServer",
        `Cannot serve: ${outcome.reason}`,
        { retryAfterMs: outcome.returnMs },
      );
    case "heldBack":
      return formatRefusals.formatRefusal(
        dialect,
        "workHeldBack",
        `Cannot serve: ${outcome.reason}`,
        { retryAfterMs: outcome.returnMs },
      );
    case "failed":
      return formatRefusals.formatRefusal(
        dialect,
        "backendFailed",
        `Cannot answer: ${outcome.reason}`,
        { outcome: "unknown" },
      );
    case "expired":
      return formatRefusals.formatRefusal(
        dialect,
        "deadlineExceeded",
        "Cannot answer in time",
        { outcome: outcome.wasSent ? "unknown" : "notRun" },
      );
    case "abandoned":
      return undefined;
  }
}
