import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as duties from "../duty/mod.ts";
import type * as fleetSettings from "../fleet_settings/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metricTypes from "../metrics/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import type * as capacityStates from "./capacity_state.ts";
import * as demandWindows from "./demand_window.ts";
import * as planCapacity from "./plan_capacity.ts";

/** Interval between readings of the demand, in ms. */
const CHECK_INTERVAL_MS = 200;
/** Minimum interval between capacity plans, in ms; limits the orders sent. */
const PLAN_INTERVAL_MS = 1_000;
/** Window of the peak demand, in ms; spans several steps. */
const DEMAND_WINDOW_MS = 15_000;
/** Timeout of a proposal to the replicated log, in ms. */
const COMMIT_TIMEOUT_MS = 1_000;
/**
 * Time for which a failure domain is skipped after it has refused an order or
 * reclaimed its spot engines, in ms.
 */
const UNAVAILABLE_MS = 10_000;
/** Time beyond a start-up after which a spot engine counts as lost, in ms. */
const MISSING_GRACE_MS = 5_000;

/** Options of an autoscaler. */
export interface AutoscalerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metricTypes.FleetMetrics;
  readonly dialect: dialects.Dialect;
  readonly servers: registry.ServerRegistry;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly group: replicaGroups.ReplicaGroup;
  readonly duty: duties.DutyLease;
  readonly state: capacityStates.CapacityState;
  readonly policy: planCapacity.CapacityPolicy;
  /** Address of the infrastructure's API. */
  readonly endpoint: fleetSettings.Endpoint;
  /**
   * Counts the slots that the open steps of a service need to finish in time; a
   * late step is given at least `leastMs`, in ms.
   */
  readonly countNeededSlots: (service: string, leastMs: number) => number;
}

/**
 * Orders spot engines according to demand. Sends orders only while this box
 * holds the duty lease.
 */
export class Autoscaler {
  readonly #options: AutoscalerOptions;
  readonly #demandWindows = new Map<string, demandWindows.DemandWindow>();
  /** When a domain was last found unavailable, by service and domain. */
  readonly #unavailableAtMs = new Map<string, number>();
  /** Since when a domain has fewer spot engines than ordered. */
  readonly #missingSinceMs = new Map<string, number>();
  #plannedAtMs = Number.NEGATIVE_INFINITY;
  #isOrdering = false;
  #isStopped = false;

  constructor(options: AutoscalerOptions) {
    this.#options = options;
  }

  start(): void {
    if (this.#isStopped) return;
    this.#checkDemand();
    this.#options.clock.startTimer(CHECK_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  #checkDemand(): void {
    const { clock, duty } = this.#options;
    if (!duty.canAct()) return;
    const services = this.#listServices();
    for (const service of services) this.#recordDemand(service);
    const nowMs = clock.getMonotonicMs();
    if (this.#isOrdering || nowMs - this.#plannedAtMs < PLAN_INTERVAL_MS) {
      return;
    }
    this.#plannedAtMs = nowMs;
    void this.#adjustAll(services);
  }

  #listServices(): readonly trafficConfig.ScaledService[] {
    const services = this.#options.configuration.get()?.services.values() ?? [];
    return [...services].filter(hasScaling);
  }

  #recordDemand({ name, scaling }: trafficConfig.ScaledService): void {
    const { clock, servers, countNeededSlots } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const demand = this.#demandWindows.get(name) ??
      new demandWindows.DemandWindow(DEMAND_WINDOW_MS);
    this.#demandWindows.set(name, demand);
    demand.record(nowMs, countNeededSlots(name, scaling.bootMs));
    for (const server of servers.listAll()) {
      if (server.service !== name || !server.isSpot) continue;
      if (server.phase !== "draining") continue;
      this.#unavailableAtMs.set(`${name} ${server.failureDomain}`, nowMs);
    }
  }

  async #adjustAll(
    services: readonly trafficConfig.ScaledService[],
  ): Promise<void> {
    this.#isOrdering = true;
    try {
      for (const service of services) await this.#adjustService(service);
    } finally {
      this.#isOrdering = false;
    }
  }

  async #adjustService(service: trafficConfig.ScaledService): Promise<void> {
    const { state, policy } = this.#options;
    const { name } = service;
    const engines = this.#options.servers.listReady(name);
    if (engines.length === 0) return;
    const baseline = state.getBaseline(name);
    if (baseline === undefined) {
      return this.#recordBaseline(name, engines.length);
    }
    const plans = planCapacity.planCapacity({
      policy,
      baseline,
      limits: service.scaling,
      slots: Math.max(...engines.map((engine) => engine.slots)),
      neededSlots: this.#demandWindows.get(name)?.getPeak() ?? 0,
      domains: this.#describeDomains(service, engines),
    });
    for (const plan of plans) await this.#orderSpotEngines(name, plan);
  }

  async #recordBaseline(service: string, engines: number): Promise<void> {
    await this.#propose({ kind: "noteCapacityBase", service, engines });
  }

  #describeDomains(
    { name, scaling }: trafficConfig.ScaledService,
    engines: readonly registry.RegisteredServer[],
  ): readonly planCapacity.DomainEngines[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    return [...scaling.prices.keys()].map((domain) => {
      const unavailableAtMs = this.#unavailableAtMs.get(`${name} ${domain}`);
      return {
        domain,
        lasting: engines.filter((engine) =>
          engine.failureDomain === domain && !engine.isSpot
        ).length,
        orderedSpot: this.#countOrderedSpot(name, domain, {
          present: engines.filter((engine) =>
            engine.failureDomain === domain && engine.isSpot
          ).length,
          bootMs: scaling.bootMs,
        }),
        isUnavailable: unavailableAtMs !== undefined &&
          nowMs - unavailableAtMs < UNAVAILABLE_MS,
      };
    });
  }

  /**
   * Counts the spot engines ordered in a domain. Those that have been missing
   * for too long are considered lost and not counted, so that they are ordered
   * again.
   */
  #countOrderedSpot(
    service: string,
    domain: string,
    { present, bootMs }: { readonly present: number; readonly bootMs: number },
  ): number {
    const { clock, state } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const key = `${service} ${domain}`;
    const ordered = state.getDesiredCount({ service, domain, engines: "spot" });
    if (present >= ordered) {
      this.#missingSinceMs.delete(key);
      return ordered;
    }
    const sinceMs = this.#missingSinceMs.get(key) ?? nowMs;
    this.#missingSinceMs.set(key, sinceMs);
    return nowMs - sinceMs > bootMs + MISSING_GRACE_MS ? present : ordered;
  }

  /**
   * Commits an order to the replicated log and sends it once. If it is not
   * accepted, the previous order is committed again.
   */
  async #orderSpotEngines(
    service: string,
    plan: planCapacity.SpotPlan,
  ): Promise<void> {
    const { dialect, duty, endpoint, log, clock, state, metrics } =
      this.#options;
    const { domain, desired } = plan;
    const order: capacityStates.CapacityOrder = {
      service,
      domain,
      engines: "spot",
      desired,
    };
    const previous = state.getDesiredCount(order);
    this.#missingSinceMs.delete(`${service} ${domain}`);
    if (!await this.#propose({ kind: "noteCapacityOrder", order })) return;
    if (!duty.canAct()) return;
    const request = dialect.createCapacityOrder({
      ...order,
      holder: duty.getName(),
      fence: duty.getFence(),
    });
    const outcome = await duties.sendDutyCall(endpoint, request);
    metrics.countCapacityOrder(outcome.kind);
    log.write("info", "capacity.ordered", {
      service,
      domain,
      desired,
      before: previous,
      fence: duty.getFence(),
      neededPlaces: this.#demandWindows.get(service)?.getPeak(),
      engines: this.#options.servers.listReady(service).length,
      outcome: outcome.kind,
      status: "status" in outcome ? outcome.status : undefined,
      reason: "reason" in outcome ? outcome.reason : undefined,
    });
    if (outcome.kind === "taken") return;
    const nowMs = clock.getMonotonicMs();
    this.#unavailableAtMs.set(`${service} ${domain}`, nowMs);
    const previousOrder = { ...order, desired: previous };
    await this.#propose({ kind: "noteCapacityOrder", order: previousOrder });
  }

  async #propose(command: capacityStates.CapacityCommand): Promise<boolean> {
    const result = await this.#options.group.propose(
      command,
      COMMIT_TIMEOUT_MS,
    );
    return result.kind === "ok";
  }
}

function hasScaling(
  service: trafficConfig.Service,
): service is trafficConfig.ScaledService {
  return service.scaling !== undefined;
}
