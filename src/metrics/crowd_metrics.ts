import * as prometheus from "prom-client";

/** Metrics of clients beyond a limit. */
export class CrowdMetrics {
  readonly #closedConnections: prometheus.Counter<"listener" | "reason">;
  readonly #refusedBodies: prometheus.Counter<"listener" | "reason">;

  constructor(registry: prometheus.Registry) {
    const registers = [registry];
    this.#closedConnections = new prometheus.Counter({
      name: "hoistscale_connections_closed_total",
      help: "Connections of clients closed because of a limit, by reason",
      labelNames: ["listener", "reason"],
      registers,
    });
    this.#refusedBodies = new prometheus.Counter({
      name: "hoistscale_bodies_refused_total",
      help: "Requests refused while their body was read, by reason",
      labelNames: ["listener", "reason"],
      registers,
    });
  }

  countClosedConnection(listener: string, reason: string): void {
    this.#closedConnections.inc({ listener, reason });
  }

  countRefusedBody(listener: string, reason: string): void {
    this.#refusedBodies.inc({ listener, reason });
  }
}
