import type * as http from "node:http";
import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as results from "../results/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import * as controlCalls from "./control_calls.ts";
import type * as metricTypes from "../metrics/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as nearReaders from "./_near_reader.ts";
import * as plainHeaders from "./_plain_headers.ts";
import * as readInSlices from "./_read_in_slices.ts";
import * as rawListeners from "./_raw_listener.ts";

/** Kept back from a deadline so that the answer arrives before it, in ms. */
const ANSWER_MARGIN_MS = 30;
/** When to come back where no leader answered a read, in ms. */
const UNREAD_RETRY_MS = 150;
/** When to come back to a box that has no configuration yet, in ms. */
const START_RETRY_MS = 500;
/** Times of calls about submissions; callers wait some seconds. */
const STORE_TIMES = { totalMs: 2_500, tryMs: 1_200 };
/** Shortest silence before a second server is asked, in ms. */
const MIN_HEDGE_MS = 60;
/** Share of the target latency after which a second server is asked. */
const HEDGE_SHARE = 0.45;

/** What the caller calls need. */
export interface CallerCallsOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metricTypes.FleetMetrics;
  readonly dialect: dialects.Dialect;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly forwarder: forwarding.Forwarder;
  readonly stores: replicaGroups.LeaderCaller;
  readonly peers: fleet.Peers;
  readonly failureDomain: string;
  readonly draw: () => number;
}

/** A request with its route. */
interface RoutedRequest {
  readonly raw: dialects.RawRequest;
  readonly route: trafficConfig.Route;
  readonly configuration: trafficConfig.Configuration;
  readonly requestId: string;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Answers requests at the caller address. */
export class CallerCalls {
  readonly #options: CallerCallsOptions;
  readonly #reader: nearReaders.NearReader;

  constructor(options: CallerCallsOptions) {
    this.#options = options;
    this.#reader = new nearReaders.NearReader(options);
  }

  /** Answers one request. */
  async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const raw = rawListeners.toRawRequest(request);
    const call = this.#options.dialect.parseCallerCall(raw);
    const answer = call.kind === "routed"
      ? await this.#serveRouted(raw, request, response)
      : await this.#serveSubmissionCall(call);
    if (answer !== undefined) rawListeners.writeAnswer(response, answer);
  }

  #refuse(
    code: results.CodeName,
    message: string,
    options: results.FailureOptions = {},
  ): dialects.RawAnswer {
    const { failure } = results.createFailure(code, message, options);
    return this.#options.dialect.formatFailure(failure);
  }

  async #serveRouted(
    raw: dialects.RawRequest,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<dialects.RawAnswer | undefined> {
    const { clock, configuration: holder, dialect, log } = this.#options;
    const arrivedAtMs = clock.getMonotonicMs();
    const configuration = holder.get();
    if (configuration === undefined) {
      return this.#refuse("noLease", "Cannot serve: no configuration yet", {
        retryAfterMs: START_RETRY_MS,
      });
    }
    const [host = ""] = String(raw.headers["host"] ?? "").split(":");
    const route = trafficConfig.matchRoute(configuration, host, raw.target);
    if (route === undefined) {
      log.write("info", "request.unrouted", {
        target: raw.target,
        host,
        version: configuration.version,
      });
      return this.#refuse("unknownRoute", "Cannot serve: no route fits");
    }
    const head = dialect.parseRequestHead(raw.headers);
    if (head.requestId === undefined) {
      return this.#refuse("missingKey", "Cannot serve: the id is missing");
    }
    const waitMs = Math.min(
      head.deadlineMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    const body = await httpServer.readBody(request, {
      maxBodyBytes: configuration.limits.bodyBytes,
      receiveTimeoutMs: waitMs,
    });
    if (body.kind === "failure") return dialect.formatFailure(body.failure);
    const routed: RoutedRequest = {
      raw,
      route,
      configuration,
      requestId: head.requestId,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + waitMs - ANSWER_MARGIN_MS,
    };
    if (route.kind === "submission") return this.#accept(routed, body.value);
    return await this.#forward(routed, body.value, response);
  }

  async #forward(
    routed: RoutedRequest,
    body: Buffer,
    response: http.ServerResponse,
  ): Promise<dialects.RawAnswer | undefined> {
    const { forwarder, draw } = this.#options;
    const { route, raw } = routed;
    const cancellation = new csp.Cancellation();
    response.once("close", () => cancellation.cancel());
    const outcome = await forwarder.send({
      requestId: routed.requestId,
      service: trafficConfig.pickService(route, draw()),
      method: raw.method,
      target: raw.target,
      headers: raw.headers,
      body,
      priority: route.priority,
      targetAtMs: routed.arrivedAtMs + route.targetLatencyMs,
      deadlineAtMs: routed.deadlineAtMs,
      attempts: route.attempts,
      isRepeatable: route.kind === "repeatable",
      retriesErrors: true,
      hedgeMs: Math.max(MIN_HEDGE_MS, route.targetLatencyMs * HEDGE_SHARE),
      cancellation,
    });
    this.#note(routed, outcome);
    return this.#toAnswer(outcome);
  }

  #note(routed: RoutedRequest, outcome: forwarding.ForwardOutcome): void {
    const { clock, log, metrics } = this.#options;
    const tookMs = clock.getMonotonicMs() - routed.arrivedAtMs;
    metrics.recordRequest(routed.route.name, outcome.kind, tookMs);
    const isPlain = outcome.kind === "answered" && outcome.answer.status < 500;
    log.write(isPlain ? "debug" : "info", "request.done", {
      request: routed.requestId,
      route: routed.route.name,
      version: routed.configuration.version,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
      server: outcome.kind === "answered" ? outcome.answer.server : undefined,
      status: outcome.kind === "answered" ? outcome.answer.status : undefined,
      waitedMs: outcome.kind === "notRun" ? outcome.waitedMs : undefined,
      returnMs: outcome.kind === "notRun" ? outcome.returnMs : undefined,
      tookMs: Math.round(tookMs),
    });
  }

  #toAnswer(
    outcome: forwarding.ForwardOutcome,
  ): dialects.RawAnswer | undefined {
    switch (outcome.kind) {
      case "answered": {
        const { status, headers, body } = outcome.answer;
        return { status, headers: plainHeaders.toPlainHeaders(headers), body };
      }
      case "notRun":
        return this.#refuse(
          "noBackendServer",
          `Cannot serve: ${outcome.reason}`,
          { retryAfterMs: outcome.returnMs },
        );
      case "failed":
        return this.#refuse(
          "backendFailed",
          `Cannot answer: ${outcome.reason}`,
          { outcome: "unknown" },
        );
      case "expired":
        return this.#refuse("deadlineExceeded", "Cannot answer in time", {
          outcome: outcome.wasSent ? "unknown" : "notRun",
        });
      case "abandoned":
        return undefined;
    }
  }

  async #accept(
    routed: RoutedRequest,
    body: Buffer,
  ): Promise<dialects.RawAnswer> {
    const { dialect, clock, draw, log } = this.#options;
    const { route, requestId } = routed;
    const draft = dialect.parseSubmission(requestId, body);
    if (draft.kind === "failure") return dialect.formatFailure(draft.failure);
    const request: submissions.AcceptRequest = {
      submission: {
        ...draft.value,
        acceptedAtMs: clock.getWallMs(),
        terms: {
          host: route.host,
          service: trafficConfig.pickService(route, draw()),
          attempts: route.attempts,
          keepMs: route.keepMs,
          targetCompletionMs: route.targetCompletionMs,
          isSingleVersion: route.isSingleVersion,
        },
      },
    };
    const accepted = await this.#callStores<null>(
      submissions.METHODS.accept,
      request,
    );
    log.write("info", "submission.sent", {
      submission: requestId,
      items: draft.value.items.length,
      outcome: accepted.kind === "ok" ? "accepted" : accepted.failure.code,
    });
    if (accepted.kind === "ok") return dialect.formatAccepted();
    return dialect.formatFailure(accepted.failure);
  }

  async #serveSubmissionCall(
    call: Exclude<dialects.CallerCall, { readonly kind: "routed" }>,
  ): Promise<dialects.RawAnswer> {
    switch (call.kind) {
      case "readResults":
        return await this.#readResults(call);
      case "readItemBody":
        return await this.#readItemBody(call);
      case "endSubmission":
        return await this.#endSubmission(call.submission);
    }
  }

  async #readResults(
    call: Extract<dialects.CallerCall, { readonly kind: "readResults" }>,
  ): Promise<dialects.RawAnswer> {
    const { dialect } = this.#options;
    const read = await readInSlices.readInSlices({
      clock: this.#options.clock,
      waitMs: call.waitMs,
      readOnce: (waitMs, tryMs) => {
        const { submission: id, after } = call;
        return this.#reader.read({ id, after, waitMs }, {
          totalMs: Math.max(STORE_TIMES.totalMs, tryMs),
          tryMs,
        });
      },
    });
    if (read.kind === "ok") return dialect.formatResults(read.value);
    return dialect.formatFailure(toReadFailure(read.failure));
  }

  async #readItemBody(
    call: Extract<dialects.CallerCall, { readonly kind: "readItemBody" }>,
  ): Promise<dialects.RawAnswer> {
    const { dialect } = this.#options;
    const request: submissions.ReadBodyRequest = {
      id: call.submission,
      item: call.item,
    };
    const read = await this.#callStores<string>(
      submissions.METHODS.readBody,
      request,
    );
    if (read.kind === "failure") {
      return dialect.formatFailure(toReadFailure(read.failure));
    }
    return dialect.formatItemBody(Buffer.from(read.value, "base64"));
  }

  async #endSubmission(id: string): Promise<dialects.RawAnswer> {
    const { dialect } = this.#options;
    const request: submissions.EndRequest = { id };
    const ended = await this.#callStores<null>(
      submissions.METHODS.end,
      request,
    );
    if (ended.kind === "ok") return dialect.formatDone();
    return dialect.formatFailure(ended.failure);
  }

  async #callStores<T>(
    method: string,
    request: object,
  ): Promise<results.Result<T>> {
    return await controlCalls.callStores<T>(
      this.#options.stores,
      { method, request },
      STORE_TIMES,
    );
  }
}

/** Reading changes nothing, so a failed read can simply be repeated. */
function toReadFailure(failure: results.Failure): results.Failure {
  if (failure.code !== "changeUnknown") return failure;
  return {
    code: "noLeader",
    message: failure.message,
    outcome: "notRun",
    retryAfterMs: UNREAD_RETRY_MS,
  };
}
