import * as prometheus from "prom-client";
import * as httpServer from "../http_server/mod.ts";
import * as configurationMetrics from "./configuration_metrics.ts";
import * as crowdMetrics from "./crowd_metrics.ts";
import * as processMetrics from "./process_metrics.ts";
import * as replicaMetrics from "./replica_metrics.ts";

/** Upper bounds of the duration buckets, in ms. */
const BUCKETS_MS = [
  5,
  10,
  25,
  50,
  100,
  200,
  400,
  800,
  1_600,
  3_200,
  6_400,
  12_800,
];

/** Most connections to the metrics. */
const MAX_READERS = 32;
/** Timeout to receive a request for the metrics, in ms. */
const READ_TIMEOUT_MS = 3_000;

/** Prometheus metrics of a box, served over HTTP. */
export class FleetMetrics {
  readonly #registry = new prometheus.Registry();
  /** Metrics of the replica groups. */
  readonly replicas = new replicaMetrics.ReplicaMetrics(this.#registry);
  /** Metrics of the configuration in force. */
  readonly configuration = new configurationMetrics.ConfigurationMetrics(
    this.#registry,
  );
  readonly crowds = new crowdMetrics.CrowdMetrics(this.#registry);
  readonly process = new processMetrics.ProcessMetrics(this.#registry);
  readonly #requestMs: prometheus.Histogram<"route" | "outcome">;
  readonly #itemRuns: prometheus.Counter<"outcome">;
  readonly #itemMs: prometheus.Histogram<string>;
  readonly #plannedGroups: prometheus.Gauge<"trainer" | "standing">;
  readonly #orders: prometheus.Counter<"outcome">;
  readonly #refusedKeys: prometheus.Counter<"reason">;
  readonly #refusedReports: prometheus.Counter<"reason">;
  readonly #dutyClaims: prometheus.Counter<"outcome">;
  readonly #unreportedUsageMs: prometheus.Gauge<string>;
  readonly #capacityOrders: prometheus.Counter<"outcome">;
  readonly #crashEvents: prometheus.Counter<"event">;
  #listener: httpServer.HttpListener | undefined;

  constructor() {
    const registers = [this.#registry];
    this.#requestMs = new prometheus.Histogram({
      name: "hoistscale_request_ms",
      help: "Time from a caller's request to its answer",
      labelNames: ["route", "outcome"],
      buckets: BUCKETS_MS,
      registers,
    });
    this.#itemRuns = new prometheus.Counter({
      name: "hoistscale_items_total",
      help: "Item runs at engines, by how they ended",
      labelNames: ["outcome"],
      registers,
    });
    this.#itemMs = new prometheus.Histogram({
      name: "hoistscale_item_ms",
      help: "Time from the acceptance of an item to its result",
      buckets: BUCKETS_MS,
      registers,
    });
    this.#plannedGroups = createPlannedGroupsGauge(registers);
    this.#orders = new prometheus.Counter({
      name: "hoistscale_orders_total",
      help: "Orders to engines, by their answer",
      labelNames: ["outcome"],
      registers,
    });
    this.#refusedKeys = new prometheus.Counter({
      name: "hoistscale_keys_refused_total",
      help: "Requests refused for their key, by reason",
      labelNames: ["reason"],
      registers,
    });
    this.#refusedReports = new prometheus.Counter({
      name: "hoistscale_reports_refused_total",
      help: "Reports of servers that named none to use, by reason",
      labelNames: ["reason"],
      registers,
    });
    this.#dutyClaims = new prometheus.Counter({
      name: "hoistscale_duty_claims_total",
      help: "Times that this box asked to hold the duties, by outcome",
      labelNames: ["outcome"],
      registers,
    });
    this.#unreportedUsageMs = new prometheus.Gauge({
      name: "hoistscale_usage_unreported_ms",
      help: "Age of the oldest usage window that is agreed on and not reported",
      registers,
    });
    this.#capacityOrders = new prometheus.Counter({
      name: "hoistscale_capacity_orders_total",
      help: "Orders of engines from the infrastructure, by their answer",
      labelNames: ["outcome"],
      registers,
    });
    this.#crashEvents = new prometheus.Counter({
      name: "hoistscale_crashing_work_total",
      help: "What was noted, granted and held back of work that ends servers",
      labelNames: ["event"],
      registers,
    });
  }

  recordRequest(route: string, outcome: string, durationMs: number): void {
    this.#requestMs.observe({ route, outcome }, durationMs);
  }

  countItemRun(outcome: string): void {
    this.#itemRuns.inc({ outcome });
  }

  recordItem(durationMs: number): void {
    this.#itemMs.observe(durationMs);
  }

  /** Sets the number of groups of a trainer by their standing in the plan. */
  setPlannedGroups(
    trainer: string,
    groups: Readonly<Record<string, number>>,
  ): void {
    for (const [standing, count] of Object.entries(groups)) {
      this.#plannedGroups.set({ trainer, standing }, count);
    }
  }

  countOrder(outcome: string): void {
    this.#orders.inc({ outcome });
  }

  countRefusedKey(reason: string): void {
    this.#refusedKeys.inc({ reason });
  }

  countRefusedReport(reason: string): void {
    this.#refusedReports.inc({ reason });
  }

  countDutyClaim(outcome: string): void {
    this.#dutyClaims.inc({ outcome });
  }

  /** Sets the age of the oldest unreported usage window, in ms; 0 for none. */
  setUnreportedUsageMs(ageMs: number): void {
    this.#unreportedUsageMs.set(ageMs);
  }

  countCapacityOrder(outcome: string): void {
    this.#capacityOrders.inc({ outcome });
  }

  countCrashEvent(event: string): void {
    this.#crashEvents.inc({ event });
  }

  /** Lists the names of all metrics. */
  listMetricNames(): readonly string[] {
    return this.#registry.getMetricsAsArray().map((metric) => metric.name);
  }

  /** Serves the metrics as text on every path of a port. */
  listen(address: string, port: number): void {
    this.#listener = new httpServer.HttpListener(
      async (_request, response) => {
        const text = await this.#registry.metrics();
        response.setHeader("content-type", this.#registry.contentType);
        response.end(text);
      },
      { headersTimeoutMs: READ_TIMEOUT_MS, requestTimeoutMs: READ_TIMEOUT_MS },
    );
    this.#listener.limitConnections({ maxConnections: MAX_READERS });
    void this.#listener.listen(address, port);
  }

  close(): void {
    this.#listener?.close(true);
  }
}

function createPlannedGroupsGauge(
  registers: prometheus.Registry[],
): prometheus.Gauge<"trainer" | "standing"> {
  return new prometheus.Gauge({
    name: "hoistscale_planned_groups",
    help:
      "Unfinished groups of open steps, by trainer and how they are planned",
    labelNames: ["trainer", "standing"],
    registers,
  });
}
