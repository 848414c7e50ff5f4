import type * as accounts from "../client_account/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as results from "../results/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";

/** Headers by lower-case name. */
export type HeaderMap = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** A request as it came, before its meaning is known. */
export interface RawRequest {
  readonly method: string;
  /** Path with its query. */
  readonly target: string;
  readonly headers: HeaderMap;
}

/** An answer ready to be written. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Buffer;
  /** Whether the end of the connection ends it, as nobody knows its length. */
  readonly isCloseDelimited?: boolean;
}

/** A call of a server, an operator or a trainer to the control address. */
export type ControlCall =
  | {
    readonly kind: "heartbeat";
    readonly report: registry.ServerReport;
  }
  | { readonly kind: "leave"; readonly lifetime: registry.Lifetime }
  /** Something that a server is to have said, and that names none to use. */
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

/** What a request at the caller address asks for. */
export type CallerCall =
  | {
    readonly kind: "readResults";
    readonly submission: string;
    /** Position of the first result wanted. */
    readonly after: number;
    /** How long the answer may be held until there is a result, in ms. */
    readonly waitMs: number;
  }
  | {
    readonly kind: "readItemBody";
    readonly submission: string;
    readonly item: string;
  }
  | { readonly kind: "endSubmission"; readonly submission: string }
  /** A request for a backend server, or a submission, as its route says. */
  | { readonly kind: "routed" };

/** What a request for a backend server says of itself. */
export interface RequestHead {
  readonly requestId: string | undefined;
  /** How long the caller will wait, in ms. */
  readonly deadlineMs: number | undefined;
  /** Key of a client account, as it was sent. */
  readonly key: string | undefined;
}

/** What this box sets on a request that it sends to a server. */
export interface ForwardMetadata {
  readonly requestId: string;
  /** Whose request it is. */
  readonly sender: accounts.Sender;
  /** Start of the server that is meant; another one must refuse. */
  readonly server: string;
  /** Time that the server has left, in ms. */
  readonly deadlineMs?: number;
  /** Event after which a stream goes on. */
  readonly lastEventId?: number;
}

/** Load that a server tells with an answer. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  /**
   * How much longer work takes at this moment than usual, for what else runs on
   * the server's machine; 1 is as usual, and where nothing is told.
   */
  readonly slowness: number;
}

/** What the head of a server's answer says. */
export interface AnswerHead {
  readonly requestId: string | undefined;
  /** Receipt of the server, which proves that the answer is its own. */
  readonly receipt: string | undefined;
  /** Whether the server says that it did not run the request. */
  readonly isNotRun: boolean;
  readonly load: ServerLoad | undefined;
  /** Weight version of the first tokens. */
  readonly weightVersion: number | undefined;
}

/** An order to an engine to load a weight version. */
export interface VersionOrder {
  readonly model: string;
  readonly version: number;
  /** Box that gives the order. */
  readonly holder: string;
  /** Rises with each leader; engines may refuse a lower one. */
  readonly fence: number;
  /** Whether runs end before the load, instead of going on under it. */
  readonly waitsForRuns: boolean;
  /** Orders that the engine has taken so far, where known. */
  readonly expectedOrderCount: number | undefined;
}

/** Marks of a call that one box at a time may make. */
export interface FencedRequest {
  /** Name of the box that calls. */
  readonly holder: string;
  /** Rises with each change of the holder. */
  readonly fence: number;
}

/** A report of one window of usage to the infrastructure. */
export interface UsageReport extends FencedRequest {
  readonly window: number;
  /** Requests that began to run in it, by client account. */
  readonly counts: Readonly<Record<string, number>>;
}

/** Asks the infrastructure for engines of a kind in a failure domain. */
export interface CapacityOrder extends FencedRequest {
  readonly service: string;
  readonly domain: string;
  readonly engines: "lasting" | "spot";
  /** Number that there should be. */
  readonly desired: number;
}

/** State of an engine as it reports it, some hundred ms old. */
export interface EngineReport {
  /** When it started, in wall ms; undefined where it does not tell. */
  readonly born: number | undefined;
  readonly models: readonly registry.LoadedModel[];
  /** Whether an order is being carried out. */
  readonly isBusy: boolean;
  /** Whether it is about to leave. */
  readonly isLeaving: boolean;
  /** Orders taken since the engine's start. */
  readonly orders: number;
  readonly running: number;
  readonly waiting: number;
}

/**
 * The words that a platform speaks: what it calls things, and how it writes
 * them. It decides nothing.
 */
export interface Dialect {
  /** Field of a stream event that tells a change of the weight version. */
  readonly versionField: string;
  parseConfiguration: trafficConfig.ParseConfiguration;
  parseControlCall(request: RawRequest, body: Buffer): ControlCall;
  parseCallerCall(request: RawRequest): CallerCall;
  parseRequestHead(headers: HeaderMap): RequestHead;
  /** Host name that a caller asks addresses for; undefined when malformed. */
  parseAddressQuery(request: RawRequest): AddressQuery | undefined;
  parseSubmission(
    id: string,
    body: Buffer,
  ): results.Result<submissions.SubmissionDraft>;
  parseAnswerHead(headers: HeaderMap): AnswerHead;
  /** @param server Id of the engine that was asked. */
  parseEngineReport(
    body: Buffer,
    server: string,
  ): registry.ParsedReport<EngineReport>;
  /** When the engine that answers an order started; undefined if unknown. */
  parseOrderAnswer(body: Buffer): number | undefined;
  /** Headers of a caller's request as a server gets them. */
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
  /** Status of an accepted submission. */
  formatAccepted(): RawAnswer;
  formatItemBody(body: Buffer): RawAnswer;
  formatFailure(failure: results.Failure): RawAnswer;
}

/** A caller's question for addresses. */
export interface AddressQuery {
  readonly failureDomain: string;
}

/** A request ready to be sent. */
export interface OutboundRequest extends RawRequest {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
}
