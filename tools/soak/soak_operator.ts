import * as engineServices from "./engine_service.ts";
import * as clients from "./soak_client.ts";

const OK = 200;

function createConfiguration(version: number): object {
  const shared = { host: clients.HOST, attempts: 3 };
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
        service: engineServices.SCORER_SERVICE,
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
        service: engineServices.ENGINE_SERVICE,
      },
    ],
    services: [
      {
        name: engineServices.ENGINE_SERVICE,
        engine: { models: [{ name: engineServices.MODEL }] },
      },
      { name: engineServices.SCORER_SERVICE },
    ],
    limits: {
      header_bytes: 16_384,
      body_bytes: 33_554_432,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** The operator's calls. */
export class SoakOperator {
  readonly #client: clients.SoakClient;
  #version = 0;

  constructor(client: clients.SoakClient) {
    this.#client = client;
  }

  /** Puts the next configuration; tells whether it was acknowledged. */
  async putConfiguration(endMs: number): Promise<boolean> {
    this.#version += 1;
    const answer = await this.#client.askUntil(
      {
        kind: "control",
        method: "POST",
        path: "/Configuration.Replace",
        json: createConfiguration(this.#version),
      },
      endMs,
      [OK],
    );
    return answer !== undefined;
  }

  /** Has a store box emptied; tells whether that was told as completed. */
  async retire(box: string, endMs: number): Promise<boolean> {
    const asked = await this.#client.askUntil(
      {
        kind: "control",
        method: "POST",
        path: `/Retire.Start/${box}`,
        json: { duration_s: 10 },
      },
      endMs,
      [OK],
    );
    if (asked === undefined) return false;
    while (Date.now() < endMs) {
      const read = await this.#client.askUntil(
        { kind: "control", method: "GET", path: `/Retire.Read/${box}` },
        endMs,
        [OK],
      );
      const { state } = (read?.json ?? {}) as { readonly state?: string };
      if (state === "completed") return true;
    }
    return false;
  }
}
