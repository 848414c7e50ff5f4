import type * as accounts from "../client_account/mod.ts";

/** Kind of requests on a route, which determines how they may be retried. */
export type RouteKind =
  | "repeatable"
  | "once"
  | "stream"
  /** Requests are submissions of many items that run asynchronously. */
  | "submission";

/** A service that a route sends requests to, and its share of them. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A rule that maps requests to services, with their limits. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Total timeout of a request, in ms. */
  readonly timeoutMs: number;
  /** Target response time of a request, in ms. */
  readonly targetLatencyMs: number;
  /** Target completion time of a submission with all its items, in ms. */
  readonly targetCompletionMs: number;
  /** Lower values are served first; 0 is the highest priority. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most servers that one request is sent to. */
  readonly attempts: number;
  /** Whether another server may resume an interrupted stream. */
  readonly canResume: boolean;
  /** Whether a text must be generated with a single weight version. */
  readonly isSingleVersion: boolean;
  /** Time after which an unfinished item may be dropped, in ms. */
  readonly keepMs: number;
  /** Whether requests without a client account's key are accepted. */
  readonly allowsAnonymous: boolean;
}

/** Limits and prices for scaling the engines of a service. */
export interface Scaling {
  /** Least number of engines per failure domain, spot and on-demand. */
  readonly minimum: number;
  /** Largest number of engines per failure domain, spot and on-demand. */
  readonly maximum: number;
  /** Time from ordering an engine until it serves, in ms. */
  readonly bootMs: number;
  /**
   * Price of a spot engine relative to an on-demand one; undefined if spot
   * engines are not used.
   */
  readonly spotPrice: number | undefined;
  /** Relative price of an engine by failure domain. */
  readonly prices: ReadonlyMap<string, number>;
}

/** A service that routes can send requests to. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Most connections that each server accepts from all clients together. */
  readonly connectionLimit: number;
  /** Models of the service's engines; empty if its servers aren't engines. */
  readonly models: readonly string[];
  /** Undefined if the number of engines is not scaled automatically. */
  readonly scaling: Scaling | undefined;
}

/** A service whose engines are scaled automatically. */
export interface ScaledService extends Service {
  readonly scaling: Scaling;
}

/** Limits on client requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A parsed configuration; a higher version replaces a lower one. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** Keys of client accounts; undefined if requests need no key. */
  readonly accounts: accounts.AccountKeys | undefined;
}

/** A configuration in the format that the operator sent. */
export interface StoredConfiguration {
  readonly version: number;
  /** Unmodified text from the operator. */
  readonly text: string;
  /**
   * Wall-clock time at which an entry box accepted it, in ms, for logs and
   * metrics only; undefined from older builds.
   */
  readonly acceptedAtMs?: number;
}

/**
 * How a configuration reached a box: by its own replica's log, pushed by a core
 * box, fetched after another box named its version, or in a periodic exchange.
 */
export type ConfigurationSource = "log" | "push" | "fetch" | "sync";
