import * as verifyLifetimes from "./verify_lifetime.ts";

/** How the stream of events of a complete response ended. */
export interface EndedStream extends verifyLifetimes.VerifyLifetimeOptions {
  /** Whether it ended after a whole event. */
  readonly isAfterEvent: boolean;
  /** Whether its end is marked by a length or by chunked encoding. */
  readonly isFramed: boolean;
}

/** Whether a stream of events is whole. */
export type StreamEnd =
  | { readonly kind: "whole" }
  /** Its end was not marked, but its server answered afterwards. */
  | { readonly kind: "verified" }
  | {
    readonly kind: "cut";
    readonly reason: string;
    /** Whether the end of the connection ended it. */
    readonly isClosed: boolean;
  };

/**
 * Checks whether a stream that ended without an error is whole. One whose end is not
 * marked looks the same after a crash of its server between two events, so the
 * server is asked whether it still answers.
 *
 * @param stream How it ended, and its server.
 * @returns Whether it is whole; the promise is never rejected.
 */
export async function checkStreamEnd(stream: EndedStream): Promise<StreamEnd> {
  if (!stream.isAfterEvent) {
    return {
      kind: "cut",
      reason: "the stream ended inside an event",
      isClosed: !stream.isFramed,
    };
  }
  if (stream.isFramed) return { kind: "whole" };
  const answer = await verifyLifetimes.verifyLifetime(stream);
  switch (answer.kind) {
    case "alive":
      return { kind: "verified" };
    case "unverified":
      return {
        kind: "cut",
        reason: `the server was not heard after the end: ${answer.reason}`,
        isClosed: true,
      };
  }
}
