import type * as http from "node:http";
import * as zlib from "node:zlib";
import * as jsonServers from "../stand_ins/json_server.ts";
import * as sleeps from "../stand_ins/sleep.ts";
import * as layouts from "./fleet_layout.ts";

/** Service names and model of the configuration and the submissions. */
export const ENGINE_SERVICE = "sommelier-lm";
export const SCORER_SERVICE = "cellar-app";
export const MODEL = "m0";

const HEARTBEAT_INTERVAL_MS = 1_000;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const OK_STATUS = 200;
const ACCEPTED_STATUS = 202;
const FIRST_PORT = 9_300;
/** Path of a request that a plain server works on for a given time, in ms. */
const WORK_PATH = /^\/till\/busy\/(\d+)$/;

/** Number and behavior of the stand-in servers. */
export interface StandInServersOptions {
  /** Third octet of the servers' address, 127.77.N.200. */
  readonly firstSubnet: number;
  readonly engines: number;
  /** Slots of each server. */
  readonly slots: number;
  readonly eventsPerItem: number;
  readonly eventBytes: number;
  /** Longest run of an item, in ms; runs vary to spread out the results. */
  readonly maxRunMs: number;
  readonly entries: readonly layouts.SoakBox[];
}

/** Stand-ins for engines and one scorer; each sends heartbeats. */
export class StandInServers {
  readonly #options: StandInServersOptions;
  readonly #servers: http.Server[] = [];
  readonly #eventPayload: string;
  /** Ids of the requests for work that a server began. */
  readonly #ranIds = new Set<string>();
  #isStopped = false;

  constructor(options: StandInServersOptions) {
    this.#options = options;
    this.#eventPayload = "x".repeat(options.eventBytes);
  }

  /** Starts the engines, then the scorer on the next port. */
  async start(): Promise<void> {
    const { engines } = this.#options;
    for (let index = 0; index <= engines; index += 1) {
      await this.#startServer(index, index === engines);
    }
  }

  stop(): void {
    this.#isStopped = true;
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  async #startServer(index: number, isScorer: boolean): Promise<void> {
    const address = `127.77.${this.#options.firstSubnet}.200`;
    const port = FIRST_PORT + index;
    const server = await jsonServers.startServer(
      address,
      port,
      (request) =>
        isScorer ? this.#handlePlain(request) : this.#handleRequest(request),
    );
    this.#servers.push(server);
    void this.#runHeartbeats(`i-${index}`, `${address}:${port}`, isScorer);
  }

  async #runHeartbeats(
    id: string,
    address: string,
    isScorer: boolean,
  ): Promise<void> {
    const { entries, slots } = this.#options;
    for (let sequence = 1; !this.#isStopped; sequence += 1) {
      const entry = entries[sequence % entries.length];
      const models = isScorer
        ? []
        : [{ name: MODEL, version: 1, adapters: [] }];
      const request = fetch(
        `http://${entry?.address}:${layouts.PORTS.control}/Instances.Heartbeat/${id}`,
        {
          method: "POST",
          signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS),
          body: JSON.stringify({
            service: isScorer ? SCORER_SERVICE : ENGINE_SERVICE,
            address,
            zone: entries[0]?.failureDomain,
            slots,
            state: "ready",
            cold_remaining_ms: 0,
            sequence,
            models,
          }),
        },
      ).then((answer) => answer.arrayBuffer());
      // After a failed heartbeat, tries the next entry box without a delay.
      const isAccepted = await request.then(() => true, () => false);
      if (isAccepted) await sleeps.sleep(HEARTBEAT_INTERVAL_MS);
    }
  }

  /** Whether a server began to work on a request of a caller. */
  hasRun(id: string): boolean {
    return this.#ranIds.has(id);
  }

  async #handlePlain(request: jsonServers.StandInRequest): Promise<void> {
    const [, workMs] = WORK_PATH.exec(request.path) ?? [];
    if (workMs === undefined) return answerScore(request);
    this.#ranIds.add(String(request.headers["x-request-id"]));
    await sleeps.sleep(Number(workMs));
    answerScore(request);
  }

  async #handleRequest(request: jsonServers.StandInRequest): Promise<void> {
    const { path, response } = request;
    if (path === "/report") return answerReport(response);
    if (path === "/order") {
      return jsonServers.answerJson(response, ACCEPTED_STATUS, {});
    }
    await this.#streamEvents(request);
  }

  async #streamEvents(request: jsonServers.StandInRequest): Promise<void> {
    const { headers, response } = request;
    const { eventsPerItem, maxRunMs } = this.#options;
    const id = String(headers["x-request-id"]);
    const eventMs = computeRunShare(id) * maxRunMs / eventsPerItem;
    const after = Number(headers["last-event-id"] ?? 0);
    response.writeHead(OK_STATUS, {
      "x-server-stamp": `stamp-${id}`,
      "content-type": "text/event-stream",
      "x-weight-versions": "1",
    });
    for (let event = after + 1; event <= eventsPerItem; event += 1) {
      if (response.destroyed) return;
      response.write(
        `id: ${event}\ndata: ${id}.${event}.${this.#eventPayload}\n\n`,
      );
      await sleeps.sleep(eventMs);
    }
    response.end();
  }
}

/** Derives a fraction of the longest run, from 0.2 to 1, from the id. */
function computeRunShare(id: string): number {
  const sum = zlib.crc32(id) % 1_000;
  return 0.2 + 0.8 * sum / 1_000;
}

function answerScore({ headers, response }: jsonServers.StandInRequest): void {
  const stamp = `stamp-${String(headers["x-request-id"])}`;
  response.writeHead(OK_STATUS, { "x-server-stamp": stamp });
  response.end("scored");
}

function answerReport(response: http.ServerResponse): void {
  jsonServers.answerJson(response, OK_STATUS, {
    stage: "both",
    models: [{ name: MODEL, version: 1, adapters: [] }],
    busy: false,
    sequence: 0,
    running: 0,
    waiting: 0,
  });
}
