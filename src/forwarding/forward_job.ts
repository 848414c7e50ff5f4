import type * as accounts from "../client_account/mod.ts";
import type * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";

/** A request to be answered by some server of a service. */
export interface ForwardJob {
  readonly requestId: string;
  /** Whose request it is. */
  readonly sender: accounts.Sender;
  readonly service: string;
  readonly method: string;
  readonly target: string;
  /** Headers as the caller sent them. */
  readonly headers: dialects.HeaderMap;
  readonly body: Buffer;
  /** Rank of its kind among requests that wait; 0 goes first. */
  readonly priority: number;
  /** When the answer loses its full worth, in monotonic ms. */
  readonly targetAtMs: number;
  /** When the answer is due, in monotonic ms. */
  readonly deadlineAtMs: number;
  /** Servers that may work on it at most. */
  readonly maxAttempts: number;
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether an answer of 500 is worth another server. */
  readonly retriesErrors: boolean;
  /** Silence after which a second server is asked as well, in ms. */
  readonly hedgeMs: number;
  /** Told once, at the end, when the run began; not told if none did. */
  readonly onStarted?: (beganAtMs: number) => void;
  /** Cancelled once the caller has left. */
  readonly cancellation: csp.Cancellation;
}

/** A whole answer of a server. */
export interface ServerAnswer {
  readonly server: string;
  readonly status: number;
  readonly headers: dialects.HeaderMap;
  readonly head: dialects.AnswerHead;
  readonly body: Buffer;
  /**
   * Whether its length was told. Where it was not, the end of the connection
   * ended it, and a server that crashed midway ends it as well.
   */
  readonly isFramed: boolean;
}

/** What became of a job. */
export type ForwardOutcome =
  | { readonly kind: "answered"; readonly answer: ServerAnswer }
  /** No server ran it, and none will. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    /** When its caller should come back, in ms. */
    readonly returnMs: number;
    /** How long it waited for a place, in ms. */
    readonly waitedMs: number;
  }
  /** It was not sent, as servers ended while they ran the same work. */
  | {
    readonly kind: "heldBack";
    readonly reason: string;
    /** When its caller should come back, in ms. */
    readonly returnMs: number;
  }
  /** It may have run, but no whole answer came. */
  | { readonly kind: "failed"; readonly reason: string }
  /** The deadline passed; it may have run where it was sent. */
  | { readonly kind: "expired"; readonly wasSent: boolean }
  | { readonly kind: "abandoned" };

/** What became of one attempt at one server. */
export type AttemptOutcome =
  | { readonly kind: "answered"; readonly answer: ServerAnswer }
  | {
    readonly kind: "notRun";
    readonly reason: string;
    /** Whether the server itself refused, as it does when it is full. */
    readonly isBusy: boolean;
    /** Whether another server than the one that was meant answered. */
    readonly isWrongServer?: boolean;
    /** Load that the server told with its refusal. */
    readonly load?: dialects.ServerLoad | undefined;
  }
  | {
    readonly kind: "broken";
    readonly reason: string;
    /** Whether the server closed or reset the connection in its midst. */
    readonly isClosed: boolean;
    /** Whether its lifetime is known to have ended. */
    readonly isLifetimeEnded?: boolean;
  };
