import type * as accounts from "../client_account/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as results from "../results/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";

/** HTTP headers, keyed by lower-case name. */
export type HeaderMap = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** Head of an HTTP request as received, before it is decoded. */
export interface RawRequest {
  readonly method: string;
  /** Path and query string. */
  readonly target: string;
  readonly headers: HeaderMap;
}

/** An encoded HTTP response. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Buffer;
}

/** A call by a server, an operator or a trainer to the control address. */
export type ControlCall =
  | {
    readonly kind: "heartbeat";
    readonly report: registry.ServerReport;
  }
  | { readonly kind: "leave"; readonly lifetime: registry.Lifetime }
  /** A heartbeat or leave notice that can't be decoded. */
  | {
    readonly kind: "badReport";
    readonly refusal: registry.ReportRefusal;
    readonly failure: results.Failure;
  }
  | {
    readonly kind: "putConfiguration";
    readonly stored: trafficConfig.StoredConfiguration;
  }
  | { readonly kind: "readConfiguration" }
  | {
    readonly kind: "nameVersion";
    readonly model: string;
    readonly version: number;
  }
  | { readonly kind: "retire"; readonly box: string }
  | { readonly kind: "readRetire"; readonly box: string }
  | { readonly kind: "malformed"; readonly failure: results.Failure }
  | { readonly kind: "unknown" };

/** The operation that a request to the caller address asks for. */
export type CallerCall =
  | {
    readonly kind: "readResults";
    readonly submission: string;
    /** Zero-based index of the first result to return. */
    readonly after: number;
    /** Long-poll timeout: how long to wait for a first result, in ms. */
    readonly waitMs: number;
  }
  | {
    readonly kind: "readItemBody";
    readonly submission: string;
    readonly item: string;
  }
  | { readonly kind: "endSubmission"; readonly submission: string }
  /** A request to forward or a new submission, depending on its route. */
  | { readonly kind: "routed" };

/** Fields decoded from the head of a request to a backend server. */
export interface RequestHead {
  readonly requestId: string | undefined;
  /** Time that the caller waits for the response, in ms. */
  readonly deadlineMs: number | undefined;
  /** API key of the client account, not yet verified. */
  readonly key: string | undefined;
}

/** Values that this box sets on a request that it forwards to a server. */
export interface ForwardMetadata {
  readonly requestId: string;
  /** Client account that the request belongs to, if any. */
  readonly sender: accounts.Sender;
  /** Id of the target server; a server with another id must refuse. */
  readonly server: string;
  /** Remaining time until the deadline, in ms. */
  readonly deadlineMs?: number;
  /** Id of the last event received; a resumed stream starts after it. */
  readonly lastEventId?: number;
}

/** Load that a server reports in the headers of a response. */
export interface ServerLoad {
  /** Number of requests being executed. */
  readonly running: number;
  /** Number of queued requests. */
  readonly waiting: number;
  /**
   * Current execution time as a multiple of the usual one, raised by other
   * processes on the server's host. 1 if the server reports no value.
   */
  readonly slowness: number;
}

/** Fields decoded from the head of a server's response. */
export interface AnswerHead {
  readonly requestId: string | undefined;
  /** Receipt that identifies the server as the origin of the response. */
  readonly receipt: string | undefined;
  /** Whether the server reports that it did not execute the request. */
  readonly isNotRun: boolean;
  readonly load: ServerLoad | undefined;
  /** Weight version that generated the first tokens. */
  readonly weightVersion: number | undefined;
}

/** Instructs an engine to load a weight version of a model. */
export interface VersionOrder {
  readonly model: string;
  readonly version: number;
  /** Name of the box that issues the order. */
  readonly holder: string;
  /** Fencing token, higher for each leader; engines may refuse a lower one. */
  readonly fence: number;
  /**
   * Whether the engine finishes its running requests before it loads the
   * version; otherwise they continue with the new weights.
   */
  readonly waitsForRuns: boolean;
  /**
   * Number of orders that the engine must have accepted before this one;
   * undefined if unknown.
   */
  readonly expectedOrderCount: number | undefined;
}

/** Fields of a request that only the holder of a duty's lease may send. */
export interface FencedRequest {
  /** Name of the box that holds the lease. */
  readonly holder: string;
  /** Fencing token, higher for each new holder. */
  readonly fence: number;
}

/** Usage of one time window, reported to the infrastructure. */
export interface UsageReport extends FencedRequest {
  /** Index of the window. */
  readonly window: number;
  /** Number of requests that started in the window, by client account. */
  readonly counts: Readonly<Record<string, number>>;
}

/** Sets the desired number of engines of a service in a failure domain. */
export interface CapacityOrder extends FencedRequest {
  readonly service: string;
  /** Failure domain. */
  readonly domain: string;
  /** Purchase option: on-demand (`lasting`) or spot. */
  readonly engines: "lasting" | "spot";
  /** Desired number of engines of this purchase option. */
  readonly desired: number;
}

/** State that an engine reports of itself; it may be slightly out of date. */
export interface EngineReport {
  /** Start time of the engine in Unix ms; undefined if not reported. */
  readonly born: number | undefined;
  readonly models: readonly registry.LoadedModel[];
  /** Whether the engine is executing a version order. */
  readonly isBusy: boolean;
  /** Whether the engine is shutting down. */
  readonly isLeaving: boolean;
  /** Number of orders accepted since the engine started. */
  readonly orders: number;
  /** Number of requests being executed. */
  readonly running: number;
  /** Number of queued requests. */
  readonly waiting: number;
}

/**
 * Wire protocol of a platform: decodes and encodes its messages. It contains no
 * rollout logic.
 */
export interface Dialect {
  /** Name of the stream event field that announces a new weight version. */
  readonly versionField: string;
  /** Decodes a configuration that a box has accepted, without checking it again. */
  decodeConfiguration: trafficConfig.DecodeConfiguration;
  parseControlCall(request: RawRequest, body: Buffer): ControlCall;
  parseCallerCall(request: RawRequest): CallerCall;
  parseRequestHead(headers: HeaderMap): RequestHead;
  /** Decodes a caller's query for box addresses; undefined if malformed. */
  parseAddressQuery(request: RawRequest): AddressQuery | undefined;
  parseSubmission(
    id: string,
    body: Buffer,
  ): results.Result<submissions.SubmissionDraft>;
  parseAnswerHead(headers: HeaderMap): AnswerHead;
  /** @param server Id of the engine that sent the report. */
  parseEngineReport(
    body: Buffer,
    server: string,
  ): registry.ParsedReport<EngineReport>;
  /**
   * Decodes the start time, in Unix ms, from an engine's response to an order;
   * undefined if it contains none.
   */
  parseOrderAnswer(body: Buffer): number | undefined;
  /** Creates the headers of a caller's request as forwarded to a server. */
  createForwardHeaders(
    headers: HeaderMap,
    metadata: ForwardMetadata,
  ): Readonly<Record<string, string>>;
  createVersionOrder(order: VersionOrder, server: string): OutboundRequest;
  createReportRequest(server: string): OutboundRequest;
  createCapacityOrder(order: CapacityOrder): OutboundRequest;
  createUsageReport(report: UsageReport): OutboundRequest;
  formatAddresses(
    addresses: readonly string[],
    ttlMs: number,
  ): RawAnswer;
  formatDone(): RawAnswer;
  formatResults(page: submissions.ResultPage): RawAnswer;
  formatRetire(isCompleted: boolean): RawAnswer;
  formatConfiguration(text: string): RawAnswer;
  /** Encodes the response to an accepted submission. */
  formatAccepted(): RawAnswer;
  formatItemBody(body: Buffer): RawAnswer;
  formatFailure(failure: results.Failure): RawAnswer;
}

/** A caller's query for box addresses. */
export interface AddressQuery {
  /** Failure domain of the caller; empty if not given. */
  readonly failureDomain: string;
}

/** An encoded HTTP request to send. */
export interface OutboundRequest extends RawRequest {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
}
