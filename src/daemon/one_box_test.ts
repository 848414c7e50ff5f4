import * as fs from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as accounts from "../client_account/mod.ts";
import * as consensus from "../consensus/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as settings from "../settings/mod.ts";
import * as loopbackNetworks from "../fixtures/loopback_network.ts";
import * as daemons from "./daemon.ts";

/** Token of the client account `cascade`. */
export const ACCOUNT_TOKEN = "token-of-cascade";
/** Token of the root operator. */
export const ROOT_TOKEN = "token-of-root";

/** Mocha timeout of each test and hook, in ms. */
export const TEST_TIMEOUT_MS = 30_000;

/** How the fake backend server responds to a request. */
export type ResponseMode = "answer" | "truncate" | "reset" | "swap" | "silent";

/** A response; `error` is present unless the request succeeded. */
export interface Answer {
  readonly status: number;
  readonly json: {
    readonly error: {
      readonly name: string;
      readonly code: number;
      readonly outcome: string;
    };
  };
}

/** Optional parts of a request. */
export interface SendOptions {
  readonly headers?: Readonly<Record<string, string>>;
  readonly json?: unknown;
  readonly port?: number;
  readonly token?: string;
}

const PORT = 8390;
const START_TIMEOUT_MS = 15_000;

/** A real daemon with a fake platform and a fake backend server, for tests. */
export class OneBox {
  readonly address: string;
  /** URL of a registered backend server whose port is closed. */
  readonly deadUrl: string;
  /** How the fake backend server responds from now on. */
  responseMode: ResponseMode = "answer";
  /** URLs of the requests that reached the fake backend server. */
  receivedUrls: readonly string[] = [];
  readonly #network: string;
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-box-"));
  /** Resolves when the daemon has ended. */
  readonly ended: Promise<void>;
  #resolveEnded: () => void = () => {};
  #servers: readonly http.Server[] = [];
  #daemon: daemons.Daemon | undefined;

  /** @param network Third octet of the loopback addresses. */
  constructor(network: number) {
    this.#network = `${loopbackNetworks.LOOPBACK_NETWORK}.${network}`;
    this.address = `${this.#network}.1`;
    this.deadUrl = `http://${this.#network}.3:${PORT}`;
    this.ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
  }

  /** Starts everything and waits until a request succeeds. */
  async start(): Promise<void> {
    this.#servers = [
      await startServer(
        `${this.#network}.4`,
        (_request, response) => this.#servePlatform(response),
      ),
      await startServer(
        `${this.#network}.2`,
        (request, response) => this.#serveBackend(request, response),
      ),
    ];
    await consensus.initializeDataFolder({
      folder: this.#folder,
      owner: "box-1",
      wallMs: 1,
    });
    this.#daemon = new daemons.Daemon(
      this.#createSettings(),
      () => this.#resolveEnded(),
    );
    await this.#daemon.start();
    const endMs = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      const change = {
        baseRevision: 0,
        requestId: "create",
        tokens: [ACCOUNT_TOKEN],
        waitMs: 5_000,
      };
      await this.send("PUT", "/v1/accounts/cascade", {
        json: change,
        port: 8081,
        token: ROOT_TOKEN,
      });
      const lookup = await this.send("GET", "/services/app/stock");
      if (lookup.status === 200) return;
      if (Date.now() > endMs) {
        throw new Error(`Cannot start the box: ${JSON.stringify(lookup)}`);
      }
    }
  }

  /** Begins the planned stop. */
  drain(): void {
    this.#daemon?.drain();
  }

  async stop(): Promise<void> {
    await this.#daemon?.stop();
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }

  async send(
    method: string,
    target: string,
    options: SendOptions = {},
  ): Promise<Answer> {
    const { token = ACCOUNT_TOKEN, port = 8080, headers = {}, ...rest } =
      options;
    const answer = await httpClient.sendJson({
      ...rest,
      baseUrl: `http://${this.address}:${port}`,
      method,
      path: target,
      headers: { authorization: `Bearer ${token}`, ...headers },
      timeoutMs: 10_000,
    });
    if (answer.kind === "failure") throw new Error(answer.failure.message);
    return {
      status: answer.value.status,
      json: answer.value.json as Answer["json"],
    };
  }

  #servePlatform(response: http.ServerResponse): void {
    const servers = [2, 3].map((host) => ({
      id: `app-${host}`,
      service: "app",
      kind: "plain",
      address: `${this.#network}.${host}`,
      port: PORT,
      failureDomain: "d",
      state: "live",
    }));
    response.end(JSON.stringify({ servers, models: [] }));
  }

  #serveBackend(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (request.url === "/v1/status") {
      response.end(JSON.stringify({ active: 0, queued: 0, slots: 4 }));
      return;
    }
    this.receivedUrls = [...this.receivedUrls, request.url ?? ""];
    request.resume();
    this.#respond(request, response);
  }

  #respond(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const body = JSON.stringify({ url: request.url });
    switch (this.responseMode) {
      case "silent":
        return;
      case "reset":
        request.socket.destroy();
        return;
      case "truncate":
        response.writeHead(200, { "content-length": body.length + 10 });
        response.write(body);
        setTimeout(() => request.socket.destroy(), 5);
        return;
      case "swap":
        response.setHeader("x-request-id", "another");
        response.end(body);
        return;
      case "answer":
        response.setHeader(
          "x-request-id",
          String(request.headers["x-request-id"]),
        );
        response.end(body);
    }
  }

  #createSettings(): settings.Settings {
    const url = `http://${this.#network}.4:${PORT}`;
    return settings.settingsSchema.parse({
      box: { id: "box-1", address: this.address, failureDomain: "d" },
      replicas: [{ id: "box-1", address: this.address }],
      control: {
        dataFolder: this.#folder,
        electionTimeoutMs: 400,
        heartbeatMs: 80,
      },
      administration: { rootTokenSha256: accounts.hashToken(ROOT_TOKEN) },
      boxList: { url, pollMs: 50 },
      weightStore: { url },
      scorer: { url },
      lease: { leaseMs: 2_000, syncWaitMs: 300 },
      addresses: { keepMs: 500 },
      limits: {
        maxBodyBytes: 1_000,
        receiveTimeoutMs: 1_500,
        requestTimeoutMs: 3_000,
        connectTimeoutMs: 1_000,
      },
      services: [{
        name: "app",
        kind: "plain",
        operations: [
          { method: "GET", path: "/stock", repeatable: true },
          { method: "POST", path: "/sync", repeatable: false },
        ],
      }],
      log: { level: "error" },
    });
  }
}

async function startServer(
  address: string,
  handler: http.RequestListener,
): Promise<http.Server> {
  const server = http.createServer(handler);
  await new Promise<void>((resolve) =>
    server.listen(PORT, address, () => resolve())
  );
  return server;
}
