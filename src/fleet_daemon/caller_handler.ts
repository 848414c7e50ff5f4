import type * as http from "node:http";
import * as accounts from "../client_account/mod.ts";
import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import type * as heldBytes from "../held_bytes/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as results from "../results/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import type * as metricTypes from "../metrics/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as crowdRecorders from "./_crowd_recorder.ts";
import * as forwardTerms from "./_forward_terms.ts";
import * as formatOutcomes from "./_format_outcome.ts";
import * as formatRefusals from "./_format_refusal.ts";
import type * as usages from "../usage/mod.ts";
import type * as boxComponents from "./box_components.ts";
import * as rawListeners from "./_raw_listener.ts";
import * as servingTimes from "./_serving_time.ts";
import * as stopGates from "./_stop_gate.ts";
import * as submissionHandlers from "./_submission_handler.ts";

/** Subtracted from each deadline so that the answer arrives in time, in ms. */
const ANSWER_MARGIN_MS = 30;
/** Retry delay sent to callers while no configuration is in force, in ms. */
const UNCONFIGURED_RETRY_MS = 500;

/** Dependencies of `CallerHandler`. */
export interface CallerHandlerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metricTypes.FleetMetrics;
  readonly crowds: crowdRecorders.CrowdRecorder;
  readonly dialect: dialects.Dialect;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly forwarder: forwarding.Forwarder;
  readonly stores: replicaGroups.LeaderCaller;
  readonly peers: fleet.Peers;
  readonly failureDomain: string;
  readonly status: Pick<boxComponents.BoxStatus, "servesUntilMs">;
  readonly memoryGuard: Pick<heldBytes.MemoryGuard, "hasRoomFor">;
  /** Counts usage per account; undefined where usage is not reported. */
  readonly usage: usages.UsageRecorder | undefined;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/** A parsed request and the configuration in force when it arrived. */
interface ParsedRequest {
  readonly raw: dialects.RawRequest;
  readonly head: dialects.RequestHead;
  readonly configuration: trafficConfig.Configuration;
  /** Value of the `host` header without the port. */
  readonly host: string;
}

/** A request whose route and sender are known; times are monotonic, in ms. */
interface RoutedRequest {
  readonly raw: dialects.RawRequest;
  readonly sender: accounts.Sender;
  readonly route: trafficConfig.Route;
  readonly configuration: trafficConfig.Configuration;
  readonly requestId: string;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Handles HTTP requests at the caller address. */
export class CallerHandler {
  readonly #options: CallerHandlerOptions;
  readonly #submissions: submissionHandlers.SubmissionHandler;
  readonly #stopGate: stopGates.StopGate;

  constructor(options: CallerHandlerOptions) {
    this.#options = options;
    this.#stopGate = new stopGates.StopGate(options);
    this.#submissions = new submissionHandlers.SubmissionHandler(options);
  }

  /** Handles one request; an abandoned request gets no answer. */
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
    const verdict = this.#stopGate.admitCall(getRequestName(parsed));
    if (verdict.kind === "refused") return verdict.answer;
    const allowsAnonymous = configuration.routes.some((route) =>
      route.host === parsed.host && route.kind === "submission" &&
      route.allowsAnonymous
    );
    const sender = this.#checkKey(parsed, allowsAnonymous);
    if (sender.kind === "refused") return this.#refuseKey();
    return await this.#submissions.answer(call, sender);
  }

  /** Identifies the sender; a refused key is logged only in described form. */
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
    return formatRefusals.formatRefusal(
      this.#options.dialect,
      code,
      message,
      options,
    );
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
    const name = getRequestName(parsed);
    const callerDeadlineMs = arrivedAtMs + timeoutMs - ANSWER_MARGIN_MS;
    const early = this.#stopGate.admitRouted(name, route, callerDeadlineMs);
    if (early.kind === "refused") return early.answer;
    const body = await httpServer.readBody({ request, response }, {
      maxBodyBytes: configuration.limits.bodyBytes,
      receiveTimeoutMs: Math.min(
        timeoutMs,
        servingTimes.getServingTimeMs(this.#options),
      ),
    });
    this.#options.crowds.recordBody("caller", body);
    if (body.kind === "failure") return dialect.formatFailure(body.failure);
    if (response.closed) return undefined;
    // Receiving the body may have taken most of the time.
    const verdict = this.#stopGate.admitRouted(name, route, callerDeadlineMs);
    if (verdict.kind === "refused") return verdict.answer;
    const routed: RoutedRequest = {
      raw,
      route,
      configuration,
      sender,
      requestId: head.requestId,
      arrivedAtMs,
      deadlineAtMs: verdict.deadlineAtMs,
    };
    if (route.kind === "submission") {
      return this.#sendSubmission(routed, body.value);
    }
    return await this.#forward(routed, body.value, response);
  }

  /** Doesn't wait itself, so that nothing here keeps the body while it is sent. */
  #sendSubmission(
    routed: RoutedRequest,
    body: Buffer,
  ): Promise<dialects.RawAnswer> {
    return this.#submissions.accept({ ...routed, body }).then((answer) => {
      const durationMs = this.#getDurationMs(routed);
      this.#stopGate.recordDuration(routed.route, durationMs);
      return answer;
    });
  }

  #getDurationMs({ arrivedAtMs }: RoutedRequest): number {
    return this.#options.clock.getMonotonicMs() - arrivedAtMs;
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
      retriesErrors: true,
      ...forwardTerms.computeForwardTerms(route),
      onStarted: (startedAtMs) => this.#countUsage(sender, startedAtMs),
      cancellation,
    });
    this.#recordOutcome(routed, outcome);
    return formatOutcomes.formatOutcome(outcome, this.#options.dialect);
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
    const { log, metrics } = this.#options;
    const durationMs = this.#getDurationMs(routed);
    metrics.recordRequest(routed.route.name, outcome.kind, durationMs);
    if (outcome.kind === "answered") {
      this.#stopGate.recordDuration(routed.route, durationMs);
    }
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
}

function getRequestName(
  { raw, head }: ParsedRequest,
): stopGates.RequestName {
  return { requestId: head.requestId, target: raw.target };
}

function getHost(raw: dialects.RawRequest): string {
  const [host = ""] = String(raw.headers["host"] ?? "").split(":");
  return host;
}

/** Returns the account's priority, or the route's where it has none. */
function getPriority(
  sender: accounts.Sender,
  route: trafficConfig.Route,
): number {
  if (sender.kind !== "account") return route.priority;
  return sender.priority ?? route.priority;
}
