import * as admission from "../admission/mod.ts";
import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import type * as boxComponents from "./box_components.ts";
import * as formatRefusals from "./_format_refusal.ts";
import * as storeTimeouts from "./_store_timeouts.ts";

/**
 * Retry delay sent to callers of a stopping box, in ms; short, as other boxes can
 * serve them at once.
 */
const STOPPING_RETRY_MS = 50;

/** Dependencies of `StopGate`. */
export interface StopGateOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly dialect: dialects.Dialect;
  readonly status: Pick<boxComponents.BoxStatus, "servesUntilMs">;
}

/** Id and target of a request, for its log line. */
export interface RequestName {
  readonly requestId: string | undefined;
  readonly target: string;
}

/** Permission with a deadline in monotonic ms, or the answer of a refusal. */
export type GateVerdict =
  | { readonly kind: "serve"; readonly deadlineAtMs: number }
  | { readonly kind: "refused"; readonly answer: dialects.RawAnswer };

/**
 * Admits requests while the box serves, and refuses the ones that it could not
 * answer before it stops.
 */
export class StopGate {
  readonly #options: StopGateOptions;
  /** Durations of answered requests, by route name. */
  readonly #durations = new admission.DurationEstimates();

  constructor(options: StopGateOptions) {
    this.#options = options;
  }

  /** Records how long an answered request of a route took, in ms. */
  recordDuration(route: trafficConfig.Route, durationMs: number): void {
    this.#durations.record(route.name, durationMs);
  }

  /** Admits a request of a route that has a deadline, in monotonic ms. */
  admitRouted(
    name: RequestName,
    route: trafficConfig.Route,
    deadlineAtMs: number,
  ): GateVerdict {
    const expectedMs = this.#getExpectedMs(route);
    return this.#admit(name, { deadlineAtMs, expectedMs });
  }

  /**
   * Returns how long a request of a route is expected to take, in ms: the mean of
   * earlier ones, else the latency target. A request that may run only once must
   * be more certain to end in time, as its caller can't send it again.
   */
  #getExpectedMs(route: trafficConfig.Route): number {
    const known = this.#durations.get(route.name);
    if (known === undefined) return route.targetLatencyMs;
    const { meanMs, deviationMs } = known;
    switch (route.kind) {
      case "repeatable":
      case "submission":
        return meanMs;
      case "once":
      case "stream":
        return meanMs + deviationMs;
    }
  }

  /** Admits a call about an existing submission; its deadline is not known. */
  admitCall(name: RequestName): GateVerdict {
    return this.#admit(name, {
      deadlineAtMs: Number.POSITIVE_INFINITY,
      expectedMs: storeTimeouts.STORE_CALL_MS,
    });
  }

  #admit(
    name: RequestName,
    limits: Pick<admission.StoppingRequest, "deadlineAtMs" | "expectedMs">,
  ): GateVerdict {
    const { clock, status } = this.#options;
    const decision = admission.decideBeforeStop({
      ...limits,
      nowMs: clock.getMonotonicMs(),
      servesUntilMs: status.servesUntilMs,
    });
    switch (decision.kind) {
      case "serve":
        return decision;
      case "refuse":
        return {
          kind: "refused",
          answer: this.#refuse(name, decision, limits),
        };
    }
  }

  #refuse(
    { requestId, target }: RequestName,
    { remainingMs }: Extract<
      admission.StopDecision,
      { readonly kind: "refuse" }
    >,
    { expectedMs }: Pick<admission.StoppingRequest, "expectedMs">,
  ): dialects.RawAnswer {
    this.#options.log.write("info", "request.refused", {
      request: requestId,
      target,
      reason: "stopping",
      remainingMs: Math.round(remainingMs),
      expectedMs: Math.round(expectedMs),
      returnMs: STOPPING_RETRY_MS,
    });
    return formatRefusals.formatRefusal(
      this.#options.dialect,
      "draining",
      "Cannot serve: the box is stopping",
      { retryAfterMs: STOPPING_RETRY_MS },
    );
  }
}
