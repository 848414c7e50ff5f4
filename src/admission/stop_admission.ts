/**
 * Time by which a request may take longer than expected, in ms. Without it, half
 * of those that are expected to end at the last moment would miss it.
 */
const DURATION_MARGIN_MS = 50;

/** A request that reached a box during its planned stop; times monotonic. */
export interface StoppingRequest {
  readonly nowMs: number;
  /** Time at which the box stops serving, in ms. */
  readonly servesUntilMs: number;
  /** Time by which the request must be answered, in ms. */
  readonly deadlineAtMs: number;
  /** Time that such a request is expected to take, in ms. */
  readonly expectedMs: number;
}

/** Whether to serve a request, and by when it must be answered. */
export type StopDecision =
  | { readonly kind: "serve"; readonly deadlineAtMs: number }
  /** It would not be answered before the box stops serving. */
  | { readonly kind: "refuse"; readonly remainingMs: number };

/**
 * Decides whether a box that stops at a given time still serves a request. A
 * request whose deadline comes first is served, as it ends in time whatever it
 * takes; any other one is served if its expected duration fits.
 */
export function decideBeforeStop(request: StoppingRequest): StopDecision {
  const { nowMs, servesUntilMs, deadlineAtMs, expectedMs } = request;
  if (nowMs < servesUntilMs && deadlineAtMs <= servesUntilMs) {
    return { kind: "serve", deadlineAtMs };
  }
  const remainingMs = servesUntilMs - nowMs;
  if (expectedMs + DURATION_MARGIN_MS > remainingMs) {
    return { kind: "refuse", remainingMs };
  }
  return { kind: "serve", deadlineAtMs: servesUntilMs };
}
