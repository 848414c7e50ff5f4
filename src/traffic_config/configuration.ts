import type * as accounts from "../client_account/mod.ts";

/** How often a route's requests may run, and what they carry. */
export type RouteKind =
  | "repeatable"
  | "once"
  | "stream"
  /** Requests come as submissions of many items, run later. */
  | "submission";

/** A service among those that a route spreads its requests over. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Which requests go where, and under which bounds. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest that a request may be held, in ms. */
  readonly timeoutMs: number;
  /** Time inside which an answer has its full worth, in ms. */
  readonly targetLatencyMs: number;
  /** Time inside which all results of a submission are due, in ms. */
  readonly targetCompletionMs: number;
  /** 0 is served first. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Servers that one request may go to at most. */
  readonly attempts: number;
  /** Whether another server may go on with a stream. */
  readonly canResume: boolean;
  /** Whether one weight version must make a whole text. */
  readonly isSingleVersion: boolean;
  /** Time after which an item may be given up, in ms. */
  readonly keepMs: number;
  /** Whether its requests need no key of a client account. */
  readonly allowsAnonymous: boolean;
}

/** How many engines of a service the system may order. */
export interface Scaling {
  /** Engines of a failure domain, of all kinds together. */
  readonly minimum: number;
  readonly maximum: number;
  /** Time until a new engine serves, in ms. */
  readonly bootMs: number;
  /** Price of a spot engine as a share of a lasting one's; undefined for none. */
  readonly spotPrice: number | undefined;
  /** Price of an engine by failure domain, against each other. */
  readonly prices: ReadonlyMap<string, number>;
}

/** A service that routes name. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that each server accepts, from all callers together. */
  readonly connectionLimit: number;
  /** Models of the service's engines; empty for plain servers. */
  readonly models: readonly string[];
  /** Undefined where the system orders no engines. */
  readonly scaling: Scaling | undefined;
}

/** A service whose engines the system orders. */
export interface ScaledService extends Service {
  readonly scaling: Scaling;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A whole configuration; a higher version replaces a lower one. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** Undefined where requests need no key. */
  readonly accounts: accounts.AccountKeys | undefined;
}

/** A configuration as the operator sent it. */
export interface StoredConfiguration {
  readonly version: number;
  /** The operator's text, unchanged. */
  readonly text: string;
}
