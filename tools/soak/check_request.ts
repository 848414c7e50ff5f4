/** A request of a soak caller that has ended; times in wall-clock ms. */
export interface EndedRequest {
  readonly id: string;
  /** Name of the box that got it. */
  readonly box: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly end:
    | { readonly kind: "answered"; readonly status: number }
    /** The connection was refused, so that nothing was sent. */
    | { readonly kind: "notSent" }
    /** The connection ended before the answer was whole. */
    | { readonly kind: "cut"; readonly reason: string };
}

/** What is known of a request beside its end. */
export interface RequestFacts {
  /** Whether a backend server began to work on it. */
  readonly hasRun: boolean;
  /** Last kill or suspension of its box, in wall-clock ms; 0 for none. */
  readonly boxFailedMs: number;
}

/**
 * Time after the sending within which a connection may close without an answer,
 * as the box had not read the request, in ms.
 */
const UNREAD_MS = 300;
const SERVICE_UNAVAILABLE = 503;

/**
 * Checks a request: a box answers what it has read unless it fails, and a
 * refusal says truly that nothing has run.
 *
 * @returns What is wrong, or undefined.
 */
export function checkRequest(
  request: EndedRequest,
  { hasRun, boxFailedMs }: RequestFacts,
): string | undefined {
  const { id, box, end, sentAtMs, endedAtMs } = request;
  switch (end.kind) {
    case "notSent":
      return undefined;
    case "answered":
      return end.status === SERVICE_UNAVAILABLE && hasRun
        ? `${box}: ${id} was refused and has run`
        : undefined;
    case "cut": {
      if (boxFailedMs >= sentAtMs) return undefined;
      const elapsedMs = endedAtMs - sentAtMs;
      if (!hasRun && elapsedMs <= UNREAD_MS) return undefined;
      return `${box}: ${id} was cut after ${elapsedMs} ms (${end.reason})${
        hasRun ? " while it ran" : ""
      }`;
    }
  }
}
