import type * as csp from "../csp/mod.ts";

/** An HTTP request and its limits. */
export interface HttpRequest {
  readonly address: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  /**
   * Id of the request, which the server returns with its answer. A connection
   * carries each id once, so that a surplus answer to one attempt can't pass for
   * the answer to a later one.
   */
  readonly requestId?: string;
  /** Timeout of the whole exchange, in ms. */
  readonly timeoutMs: number;
  /** Timeout to connect, in ms; default 1,000. */
  readonly connectTimeoutMs?: number;
  /** Largest response body, in bytes; default 16 MiB. */
  readonly maxResponseBytes?: number;
  /**
   * Whether to open a new connection instead of using a pooled one. Requests
   * without an id that aren't reads always do.
   */
  readonly isFreshConnection?: boolean;
  /** Validates a response head before the body; returns the error, if any. */
  readonly checkHead?: (head: ResponseHead) => string | undefined;
  /** Aborts the request when cancelled. */
  readonly cancellation?: csp.Cancellation;
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
}

/** Outcome of a request. */
export type HttpOutcome =
  | {
    readonly kind: "answered";
    readonly head: ResponseHead;
    readonly body: Buffer;
  }
  /** The request was not sent, so the server did not run it. */
  | { readonly kind: "notSent"; readonly message: string }
  /** The request may have run, but no complete response was received. */
  | {
    readonly kind: "broken";
    readonly message: string;
    /** Whether the server closed or reset the connection. */
    readonly isClosed: boolean;
    readonly head?: ResponseHead;
  };
