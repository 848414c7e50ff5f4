import type * as forwarding from "../forwarding/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";

/** Shortest delay before a hedged request is sent, in ms. */
const MIN_HEDGE_DELAY_MS = 60;
/** Delay before a hedged request, as a fraction of the target latency. */
const HEDGE_DELAY_FRACTION = 0.45;

/** How requests of a route may be repeated. */
export type ForwardTerms = Pick<
  forwarding.ForwardJob,
  "isRepeatable" | "isStream" | "hedgeMs"
>;

/**
 * Computes how requests of a route may be repeated. A stream that may be resumed
 * may also run again from its begin, but is never hedged, as it lasts much longer
 * than the target latency, which counts to its first event.
 *
 * @param route The route.
 * @returns The terms.
 */
export function computeForwardTerms(
  { kind, canResume, targetLatencyMs }: Pick<
    trafficConfig.Route,
    "kind" | "canResume" | "targetLatencyMs"
  >,
): ForwardTerms {
  if (kind === "stream") {
    return { isRepeatable: canResume, isStream: true, hedgeMs: undefined };
  }
  return {
    isRepeatable: kind === "repeatable",
    isStream: false,
    hedgeMs: Math.max(
      MIN_HEDGE_DELAY_MS,
      targetLatencyMs * HEDGE_DELAY_FRACTION,
    ),
  };
}
