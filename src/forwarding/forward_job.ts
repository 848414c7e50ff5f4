import type * as accounts from "../client_account/mod.ts";
import type * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";

/** A request to forward to one of the servers of a service. */
export interface ForwardJob {
  readonly requestId: string;
  /** Client account or other party that sent the request. */
  readonly sender: accounts.Sender;
  readonly service: string;
  readonly method: string;
  /** Request target: path and query. */
  readonly target: string;
  /** Headers as received from the caller. */
  readonly headers: dialects.HeaderMap;
  readonly body: Buffer;
  /** Queue priority; 0 is the highest. */
  readonly priority: number;
  /** Latency target: an answer after this time is late, in monotonic ms. */
  readonly targetAtMs: number;
  /** Deadline, after which the job fails as expired, in monotonic ms. */
  readonly deadlineAtMs: number;
  /** Maximum number of servers that may run the request. */
  readonly maxAttempts: number;
  /** Whether the request is idempotent and may run more than once. */
  readonly isRepeatable: boolean;
  /**
   * Whether the job belongs to work that was accepted to be done later. Crashes of
   * servers are never held against such work.
   */
  readonly isOwed?: boolean;
  /** Whether a 5xx answer is retried on another server. */
  readonly retriesErrors: boolean;
  /**
   * Whether a successful answer is a stream of server-sent events, which is whole
   * only if it ends after an event.
   */
  readonly isStream?: boolean;
  /**
   * Time without an answer after which a hedged request is sent, in ms; undefined
   * if none is sent.
   */
  readonly hedgeMs: number | undefined;
  /**
   * Called at most once, when the job ends, with the time at which its run was
   * sent, in monotonic ms. Not called if the request cannot have run.
   */
  readonly onStarted?: (startedAtMs: number) => void;
  /** Cancelled when the caller disconnects. */
  readonly cancellation: csp.Cancellation;
}

/** A complete answer of a server. */
export interface ServerAnswer {
  /** Id of the server. */
  readonly server: string;
  readonly status: number;
  readonly headers: dialects.HeaderMap;
  readonly head: dialects.AnswerHead;
  readonly body: Buffer;
  /**
   * Whether the body is delimited by a length or chunked encoding. If it ends
   * with the connection instead, a crash of the server can look like its end.
   */
  readonly isFramed: boolean;
}

/** Final outcome of a job. */
export type ForwardOutcome =
  | { readonly kind: "answered"; readonly answer: ServerAnswer }
  /** No server ran the request, and none will. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    /** Delay after which the caller should retry, in ms. */
    readonly returnMs: number;
    /** Time that the job was queued for a free slot, in ms. */
    readonly waitedMs: number;
  }
  /** Not sent, because servers crashed while they ran the same work. */
  | {
    readonly kind: "heldBack";
    readonly reason: string;
    /** Delay after which the caller should retry, in ms. */
    readonly returnMs: number;
  }
  /** The request may have run, but no complete answer arrived. */
  | { readonly kind: "failed"; readonly reason: string }
  /** The deadline passed; if the request was sent, it may have run. */
  | { readonly kind: "expired"; readonly wasSent: boolean }
  /** The caller disconnected. */
  | { readonly kind: "abandoned" };

/** Outcome of one attempt at one server. */
export type AttemptOutcome =
  | { readonly kind: "answered"; readonly answer: ServerAnswer }
  /** The server did not run the request. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    /** Whether the server itself refused, for example because it is full. */
    readonly isBusy: boolean;
    /** Whether a different server answered at the address. */
    readonly isWrongServer?: boolean;
    /** Load that the server reported with its refusal. */
    readonly load?: dialects.ServerLoad | undefined;
  }
  /** The request may have run, but no valid answer arrived. */
  | {
    readonly kind: "broken";
    readonly reason: string;
    /** Whether the server closed or reset the connection during the exchange. */
    readonly isClosed: boolean;
    /** Whether the server process that got the request is known to have ended. */
    readonly isLifetimeEnded?: boolean;
  };
