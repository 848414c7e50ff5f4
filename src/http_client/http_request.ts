import type * as csp from "../csp/mod.ts";

/** Where and what to send. */
export interface HttpRequest {
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  /** Time for the whole exchange, in ms. */
  readonly timeoutMs: number;
  /** Time to connect, in ms; default 1,000. */
  readonly connectTimeoutMs?: number;
  /** Largest answer, in bytes; default 16 MiB. */
  readonly maxResponseBytes?: number;
  /** Use a connection of its own, never one that served before. */
  readonly isFreshConnection?: boolean;
  /** Says what is wrong with an answer's head, before its body is read. */
  readonly checkHead?: (head: ResponseHead) => string | undefined;
  /** Gives the request up when cancelled. */
  readonly cancellation?: csp.Cancellation;
}

/** Head of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
}

/** What became of a request. */
export type HttpOutcome =
  | {
    readonly kind: "answered";
    readonly head: ResponseHead;
    readonly body: Buffer;
  }
  /** No byte of the request left this process. */
  | { readonly kind: "notSent"; readonly message: string }
  /** It may have run; no whole answer came. */
  | {
    readonly kind: "broken";
    readonly message: string;
    /** Whether the server closed or reset the connection in its midst. */
    readonly isClosed: boolean;
    readonly head?: ResponseHead;
  };
