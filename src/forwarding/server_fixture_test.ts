import * as http from "node:http";
import type * as net from "node:net";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";
import type * as forwarderOptions from "./forwarder_options.ts";
import * as forwarders from "./forwarder.ts";
import * as serverLoads from "./server_loads.ts";

/** Request target of a server's state. */
export const STATE_TARGET = "/state";

/** The parts of a dialect that forwarding uses. */
export const DIALECT = {
  createForwardHeaders: (
    headers: dialects.HeaderMap,
    marks: dialects.ForwardMetadata,
  ) => ({ ...headers, id: marks.requestId, server: marks.server }),
  parseAnswerHead: (headers: dialects.HeaderMap) => ({
    requestId: headers["id"],
    receipt: headers["receipt"],
    isNotRun: headers["not-run"] !== undefined,
    load: undefined,
    weightVersion: undefined,
  }),
  createReportRequest: () => ({
    method: "GET",
    target: STATE_TARGET,
    headers: {},
    body: undefined,
  }),
  parseEngineReport: () => ({ kind: "ok", value: {} }),
} as unknown as dialects.Dialect;

/** Handles a request at a test server. */
export type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

/** Creates a handler that sends a complete answer with a receipt. */
export function answer(
  status: number,
  headers: Readonly<Record<string, string>> = {},
): RequestHandler {
  return (request, response) => {
    const id = String(request.headers["id"]);
    response.writeHead(status, { id, receipt: "r", ...headers });
    response.end("body");
  };
}

const AMPLE_TIME_MS = 30_000;
const SERVER_COUNT = 3;

/** Creates an idempotent job with ample time. */
export function createJob(
  clock: clocks.Clock,
  overrides: Partial<jobs.ForwardJob> = {},
): jobs.ForwardJob {
  return {
    requestId: "job",
    sender: { kind: "unasked" },
    service: "app",
    method: "POST",
    target: "/x",
    headers: {},
    body: Buffer.from("question"),
    priority: 0,
    targetAtMs: clock.getMonotonicMs() + AMPLE_TIME_MS,
    deadlineAtMs: clock.getMonotonicMs() + AMPLE_TIME_MS,
    maxAttempts: 3,
    isRepeatable: true,
    retriesErrors: true,
    hedgeMs: AMPLE_TIME_MS,
    cancellation: new csp.Cancellation(),
    ...overrides,
  };
}

/** Servers on loopback with scripted handlers, chosen in their order. */
export class ScriptedServers {
  readonly clock = new clocks.SystemClock();
  /** Handlers by server index, set by each test. */
  handlers: RequestHandler[] = [];
  /** Ids of the servers in the order in which they received requests. */
  receivedBy: string[] = [];
  registry = new registry.ServerRegistry(this.clock, 60_000);
  httpServers: http.Server[] = [];

  /** Starts new servers with an empty registry. */
  async start(): Promise<void> {
    this.receivedBy = [];
    this.handlers = [];
    this.registry = new registry.ServerRegistry(this.clock, 60_000);
    this.httpServers = Array.from(
      { length: SERVER_COUNT },
      (_, index) => this.#createServer(index),
    );
    for (const [index, server] of this.httpServers.entries()) {
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      this.registry.merge(serverFixtures.createServer(`s${index}`, {
        service: "app",
        port: (server.address() as net.AddressInfo).port,
        slots: 4,
        // Makes the choice of servers follow their order.
        coldMs: index * 100,
      }));
    }
  }

  stop(): void {
    for (const server of this.httpServers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Sends a job through a new forwarder. */
  send(
    overrides: Partial<jobs.ForwardJob> = {},
    loads = new serverLoads.ServerLoads(this.clock),
    isLoadAware = false,
  ): Promise<jobs.ForwardOutcome> {
    const forwarder = this.createForwarder({ loads, isLoadAware });
    return forwarder.send(createJob(this.clock, overrides));
  }

  createForwarder(
    overrides: Partial<forwarderOptions.ForwarderOptions> = {},
  ): forwarders.Forwarder {
    return new forwarders.Forwarder({
      clock: this.clock,
      crashGuard: guardFixtures.createCrashGuard(this.clock),
      log: new logs.Log("box", "error", () => {}),
      servers: this.registry,
      loads: new serverLoads.ServerLoads(this.clock),
      dialect: DIALECT,
      failureDomain: "d",
      draw: () => 0,
      isLoadAware: false,
      ...overrides,
    });
  }

  #createServer(index: number): http.Server {
    return http.createServer((request, response) => {
      this.receivedBy.push(`s${index}`);
      request.resume();
      request.on("end", () => this.handlers[index]?.(request, response));
    });
  }
}
