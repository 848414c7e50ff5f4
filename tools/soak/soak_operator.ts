import * as standInServers from "./stand_in_servers.ts";
import * as probePlans from "./probe_plan.ts";
import * as clients from "./soak_client.ts";

const OK = 200;
/** Service of the probe routes; it has no servers. */
const PROBE_SERVICE = "probe";

function createProbeRoute(version: number): object {
  return {
    host: clients.ROUTE_HOST,
    name: `probe-${version}`,
    path_prefix: probePlans.createProbePrefix(version),
    kind: "idempotent",
    timeout_ms: 1_000,
    target_latency_ms: 500,
    service: PROBE_SERVICE,
  };
}

function createConfiguration(version: number): object {
  const shared = { host: clients.ROUTE_HOST, attempts: 3 };
  return {
    version,
    routes: [
      {
        ...shared,
        name: "till",
        path_prefix: "/till/",
        kind: "idempotent",
        timeout_ms: 5_000,
        target_latency_ms: 1_000,
        service: standInServers.SCORER_SERVICE,
      },
      {
        ...shared,
        name: "steps",
        path_prefix: "/steps/",
        kind: "rollout",
        timeout_ms: 10_000,
        target_latency_ms: 400,
        target_completion_ms: 20_000,
        keep_s: 90,
        service: standInServers.ENGINE_SERVICE,
      },
      ...probePlans.listKeptVersions(version).map(createProbeRoute),
    ],
    services: [
      {
        name: standInServers.ENGINE_SERVICE,
        engine: { models: [{ name: standInServers.MODEL }] },
      },
      { name: standInServers.SCORER_SERVICE },
      { name: PROBE_SERVICE },
    ],
    limits: {
      header_bytes: 16_384,
      body_bytes: 33_554_432,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** Performs operator tasks through the control API. */
export class SoakOperator {
  readonly #client: clients.SoakClient;
  #version = 0;

  constructor(client: clients.SoakClient) {
    this.#client = client;
  }

  /** Returns the newest version that was sent. */
  getVersion(): number {
    return this.#version;
  }

  /** Replaces the configuration; returns its version if it was acknowledged. */
  async putConfiguration(deadlineMs: number): Promise<number | undefined> {
    this.#version += 1;
    const version = this.#version;
    const answer = await this.#client.sendUntil(
      {
        kind: "control",
        method: "POST",
        path: "/Configuration.Replace",
        json: createConfiguration(version),
      },
      deadlineMs,
      [OK],
    );
    return answer === undefined ? undefined : version;
  }

  /** Retires a store box; returns whether it completed by the deadline. */
  async retire(box: string, deadlineMs: number): Promise<boolean> {
    const started = await this.#client.sendUntil(
      {
        kind: "control",
        method: "POST",
        path: `/Retire.Start/${box}`,
        json: { duration_s: 10 },
      },
      deadlineMs,
      [OK],
    );
    if (started === undefined) return false;
    while (Date.now() < deadlineMs) {
      const status = await this.#client.sendUntil(
        { kind: "control", method: "GET", path: `/Retire.Read/${box}` },
        deadlineMs,
        [OK],
      );
      const { state } = (status?.json ?? {}) as { readonly state?: string };
      if (state === "completed") return true;
    }
    return false;
  }
}
