import type * as http from "node:http";
import * as accounts from "../client_account/mod.ts";
import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as results from "../results/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import type * as metricTypes from "../metrics/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as endToEndHeaders from "./_end_to_end_headers.ts";
import type * as usages from "../usage/mod.ts";
import * as rawListeners from "./_raw_listener.ts";
import * as submissionHandlers from "./_submission_handler.ts";

/** Kept back from a deadline so that the answer arrives before it, in ms. */
const ANSWER_MARGIN_MS = 30;
/** When to come back to a box that has no configuration yet, in ms. */
const UNCONFIGURED_RETRY_MS = 500;
/** Shortest silence before a second server is asked, in ms. */
const MIN_HEDGE_DELAY_MS = 60;
/** Share of the target latency after which a second server is asked. */
const HEDGE_DELAY_FRACTION = 0.45;

/** What the caller calls need. */
export interface CallerHandlerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metricTypes.FleetMetrics;
  readonly dialect: dialects.Dialect;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly forwarder: forwarding.Forwarder;
  readonly stores: replicaGroups.LeaderCaller;
  readonly peers: fleet.Peers;
  readonly failureDomain: string;
  /** Counts usage where that is asked for. */
  readonly usage: usages.UsageRecorder | undefined;
  readonly draw: () => number;
}

/** A request and the configuration under which it is answered. */
interface ParsedRequest {
  readonly raw: dialects.RawRequest;
  readonly head: dialects.RequestHead;
  readonly configuration: trafficConfig.Configuration;
  /** Host that the caller named, without a port. */
  readonly host: string;
}

/** A request with its route and sender. */
interface RoutedRequest {
  readonly raw: dialects.RawRequest;
  readonly sender: accounts.Sender;
  readonly route: trafficConfig.Route;
  readonly configuration: trafficConfig.Configuration;
  readonly requestId: string;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Answers requests at the caller address. */
export class CallerHandler {
  readonly #options: CallerHandlerOptions;
  readonly #submissions: submissionHandlers.SubmissionHandler;

  constructor(options: CallerHandlerOptions) {
    this.#options = options;
    this.#submissions = new submissionHandlers.SubmissionHandler(options);
  }

  /** Answers one request. */
  async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const raw = rawListeners.toRawRequest(request);
    const call = this.#options.dialect.parseCallerCall(raw);
    const answer = await this.#answer(call, raw, request, response);
    if (answer !== undefined) rawListeners.writeAnswer(response, answer);
  }

  async #answer(
    call: dialects.CallerCall,
    raw: dialects.RawRequest,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<dialects.RawAnswer | undefined> {
    const configuration = this.#options.configuration.get();
    if (configuration === undefined) {
      return this.#refuse("noLease", "Cannot serve: no configuration yet", {
        retryAfterMs: UNCONFIGURED_RETRY_MS,
      });
    }
    const parsed: ParsedRequest = {
      raw,
      head: this.#options.dialect.parseRequestHead(raw.headers),
      configuration,
      host: getHost(raw),
    };
    if (call.kind === "routed") {
      return await this.#serveRouted(parsed, request, response);
    }
    const allowsAnonymous = configuration.routes.some((route) =>
      route.host === parsed.host && route.kind === "submission" &&
      route.allowsAnonymous
    );
    const sender = this.#checkKey(parsed, allowsAnonymous);
    if (sender.kind === "refused") return this.#refuseKey();
    return await this.#submissions.answer(call, sender);
  }

  /** Says whose request it is; a refusal is logged without its key. */
  #checkKey(
    { raw, head, configuration, host }: ParsedRequest,
    allowsAnonymous: boolean,
  ): accounts.KeyCheckResult {
    const { log, metrics } = this.#options;
    const { key, requestId } = head;
    const result = accounts.checkKey(
      configuration.accounts,
      key,
      allowsAnonymous,
    );
    if (result.kind === "refused") {
      metrics.countRefusedKey(result.reason);
      log.write("info", "key.refused", {
        request: requestId,
        host,
        target: raw.target,
        key: accounts.describeKey(key),
        version: configuration.version,
        reason: result.reason,
      });
    }
    return result;
  }

  #refuseKey(): dialects.RawAnswer {
    return this.#refuse("badToken", "Cannot serve: no account holds the key");
  }

  #refuse(
    code: results.ResultCodeName,
    message: string,
    options: results.FailureOptions = {},
  ): dialects.RawAnswer {
    const { failure } = results.createFailure(code, message, options);
    return this.#options.dialect.formatFailure(failure);
  }

  async #serveRouted(
    parsed: ParsedRequest,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<dialects.RawAnswer | undefined> {
    const { clock, dialect, log } = this.#options;
    const arrivedAtMs = clock.getMonotonicMs();
    const { raw, head, configuration, host } = parsed;
    const route = trafficConfig.matchRoute(configuration, host, raw.target);
    if (route === undefined) {
      log.write("info", "request.unrouted", {
        target: raw.target,
        host,
        version: configuration.version,
      });
      return this.#refuse("unknownRoute", "Cannot serve: no route fits");
    }
    const sender = this.#checkKey(parsed, route.allowsAnonymous);
    if (sender.kind === "refused") return this.#refuseKey();
    if (head.requestId === undefined) {
      return this.#refuse("missingKey", "Cannot serve: the id is missing");
    }
    const timeoutMs = Math.min(
      head.deadlineMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    const body = await httpServer.readBody(request, {
      maxBodyBytes: configuration.limits.bodyBytes,
      receiveTimeoutMs: timeoutMs,
    });
    if (body.kind === "failure") return dialect.formatFailure(body.failure);
    const routed: RoutedRequest = {
      raw,
      route,
      configuration,
      sender,
      requestId: head.requestId,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + timeoutMs - ANSWER_MARGIN_MS,
    };
    if (route.kind === "submission") {
      return await this.#submissions.accept({ ...routed, body: body.value });
    }
    return await this.#forward(routed, body.value, response);
  }

  async #forward(
    routed: RoutedRequest,
    body: Buffer,
    response: http.ServerResponse,
  ): Promise<dialects.RawAnswer | undefined> {
    const { forwarder, draw } = this.#options;
    const { route, raw, sender } = routed;
    const cancellation = new csp.Cancellation();
    response.once("close", () => cancellation.cancel());
    const outcome = await forwarder.send({
      requestId: routed.requestId,
      sender,
      service: trafficConfig.pickService(route, draw()),
      method: raw.method,
      target: raw.target,
      headers: raw.headers,
      body,
      priority: getPriority(sender, route),
      targetAtMs: routed.arrivedAtMs + route.targetLatencyMs,
      deadlineAtMs: routed.deadlineAtMs,
      maxAttempts: route.attempts,
      isRepeatable: route.kind === "repeatable",
      retriesErrors: true,
      hedgeMs: Math.max(
        MIN_HEDGE_DELAY_MS,
        route.targetLatencyMs * HEDGE_DELAY_FRACTION,
      ),
      onStarted: (startedAtMs) => this.#countUsage(sender, startedAtMs),
      cancellation,
    });
    this.#recordOutcome(routed, outcome);
    return this.#toAnswer(outcome);
  }

  #countUsage(sender: accounts.Sender, startedAtMs: number): void {
    const { clock, usage } = this.#options;
    if (sender.kind !== "account" || usage === undefined) return;
    const elapsedMs = clock.getMonotonicMs() - startedAtMs;
    usage.count(sender.name, clock.getWallMs() - elapsedMs);
  }

  #recordOutcome(
    routed: RoutedRequest,
    outcome: forwarding.ForwardOutcome,
  ): void {
    const { clock, log, metrics } = this.#options;
    const durationMs = clock.getMonotonicMs() - routed.arrivedAtMs;
    metrics.recordRequest(routed.route.name, outcome.kind, durationMs);
    const isServed = outcome.kind === "answered" && outcome.answer.status < 500;
    log.write(isServed ? "debug" : "info", "request.done", {
      request: routed.requestId,
      route: routed.route.name,
      account: routed.sender.kind === "account"
        ? routed.sender.name
        : undefined,
      version: routed.configuration.version,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
      server: outcome.kind === "answered" ? outcome.answer.server : undefined,
      status: outcome.kind === "answered" ? outcome.answer.status : undefined,
      waitedMs: outcome.kind === "notRun" ? outcome.waitedMs : undefined,
      returnMs: "returnMs" in outcome ? outcome.returnMs : undefined,
      tookMs: Math.round(durationMs),
    });
  }

  #toAnswer(
    outcome: forwarding.ForwardOutcome,
  ): dialects.RawAnswer | undefined {
    switch (outcome.kind) {
      case "answered": {
        const { status, headers, body, isFramed } = outcome.answer;
        return {
          status,
          headers: endToEndHeaders.toEndToEndHeaders(headers),
          body,
          isCloseDelimited: !isFramed,
        };
      }
      case "notRun":
        return this.#refuse(
          "noBackendServer",
          `Cannot serve: ${outcome.reason}`,
          { retryAfterMs: outcome.returnMs },
        );
      case "heldBack":
        return this.#refuse(
          "workHeldBack",
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
}

function getHost(raw: dialects.RawRequest): string {
  const [host = ""] = String(raw.headers["host"] ?? "").split(":");
  return host;
}

/** An account's rank goes before that of the route. */
function getPriority(
  sender: accounts.Sender,
  route: trafficConfig.Route,
): number {
  if (sender.kind !== "account") return route.priority;
  return sender.priority ?? route.priority;
}
