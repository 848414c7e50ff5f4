import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as accounts from "../client_account/mod.ts";
import * as daemons from "../daemon/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as settings from "../settings/mod.ts";

const BOX = "127.0.8.1";
const BACKEND = "127.0.8.2";
const SECOND_BACKEND = "127.0.8.3";
const PLATFORM = "127.0.8.4";
const PORT = 8390;
const TOKEN = "token-of-cascade";
const ROOT = "token-of-root";
const START_MS = 15_000;

/** How the stand-in backend server treats a call. */
type Manner = "answer" | "truncate" | "reset" | "swap" | "silent";

interface ErrorBody {
  readonly error: {
    readonly name: string;
    readonly code: number;
    readonly outcome: string;
    readonly retryAfterMs?: number;
  };
}

interface Answer {
  readonly status: number;
  readonly json: ErrorBody;
}

let manner: Manner = "answer";
let runs: readonly string[] = [];

function serveBackend(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  if (request.url === "/v1/status") {
    response.end(JSON.stringify({ active: 0, queued: 0, slots: 4 }));
    return;
  }
  runs = [...runs, request.url ?? ""];
  const body = JSON.stringify({ url: request.url });
  request.resume();
  switch (manner) {
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

function servePlatform(
  _request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const servers = [BACKEND, SECOND_BACKEND].map((address, index) => ({
    id: `app-${index}`,
    service: "app",
    kind: "plain",
    address,
    port: PORT,
    failureDomain: "d",
    state: "live",
  }));
  response.end(JSON.stringify({ servers, models: [] }));
}

async function listen(
  address: string,
  handler: http.RequestListener,
): Promise<http.Server> {
  const server = http.createServer(handler);
  await new Promise<void>((resolve) =>
    server.listen(PORT, address, () => resolve())
  );
  return server;
}

function createSettings(folder: string): settings.Settings {
  const url = `http://${PLATFORM}:${PORT}`;
  return settings.settingsSchema.parse({
    box: { id: "box-1", address: BOX, failureDomain: "d" },
    replicas: [{ id: "box-1", address: BOX }],
    control: { dataFolder: folder, electionTimeoutMs: 100, heartbeatMs: 20 },
    administration: { rootTokenSha256: accounts.hashToken(ROOT) },
    boxList: { url, pollMs: 50 },
    weightStore: { url },
    scorer: { url },
    lease: { leaseMs: 300, syncWaitMs: 50 },
    limits: {
      maxBodyBytes: 1_000,
      receiveTimeoutMs: 300,
      requestTimeoutMs: 1_000,
      connectTimeoutMs: 200,
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

async function send(
  method: string,
  target: string,
  options: {
    readonly headers?: Readonly<Record<string, string>>;
    readonly json?: unknown;
    readonly port?: number;
    readonly token?: string;
  } = {},
): Promise<Answer> {
  const { token = TOKEN, port = 8080, headers = {}, ...rest } = options;
  const answer = await httpClient.sendJson({
    ...rest,
    baseUrl: `http://${BOX}:${port}`,
    method,
    path: target,
    headers: { authorization: `Bearer ${token}`, ...headers },
    timeoutMs: 5_000,
  });
  if (answer.kind === "failure") throw new Error(answer.failure.message);
  return { status: answer.value.status, json: answer.value.json as ErrorBody };
}

function sync(key: string, json: unknown = { key }): Promise<Answer> {
  return send("POST", "/services/app/sync", {
    headers: { "idempotency-key": key },
    json,
  });
}

describe("caller path of one box", function () {
  this.timeout(2 * START_MS);
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-caller-"));
  let servers: readonly http.Server[] = [];
  let daemon: daemons.Daemon | undefined;

  before(async () => {
    servers = [
      await listen(PLATFORM, servePlatform),
      await listen(BACKEND, serveBackend),
    ];
    daemon = new daemons.Daemon(createSettings(folder), () => {});
    await daemon.start();
    const endMs = Date.now() + START_MS;
    for (;;) {
      const change = {
        baseRevision: 0,
        requestId: "create",
        tokens: [TOKEN],
        waitMs: 2_000,
      };
      await send("PUT", "/v1/accounts/cascade", {
        json: change,
        port: 8081,
        token: ROOT,
      });
      const tried = await send("GET", "/services/app/stock");
      if (tried.status === 200) break;
      if (Date.now() > endMs) {
        throw new Error(`Cannot start the box: ${JSON.stringify(tried)}`);
      }
    }
  });

  after(async () => {
    await daemon?.stop();
    for (const server of servers) {
      server.closeAllConnections();
      server.close();
    }
    fs.rmSync(folder, { recursive: true, force: true });
  });

  beforeEach(() => {
    manner = "answer";
    runs = [];
  });

  it("answers a lookup through the live server though another refuses connections", async () => {
    for (let count = 0; count < 10; count += 1) {
      chai.expect((await send("GET", "/services/app/stock?sku=1")).status).to
        .equal(200);
    }
  });

  it("refuses what can't be served, with a numbered error that says nothing ran", async () => {
    const refusals = [
      [
        await send("GET", "/services/app/stock", { token: "wrong" }),
        401,
        "badToken",
      ],
      [await send("GET", "/nowhere"), 404, "unknownRoute"],
      [
        await send("POST", "/services/app/sync", { json: {} }),
        400,
        "missingKey",
      ],
      [
        await send("POST", "/services/app/sync", {
          json: { text: "x".repeat(2_000) },
        }),
        413,
        "bodyTooLarge",
      ],
      [
        await send("POST", "/v1/completions", { json: { model: 7 } }),
        400,
        "badParameters",
      ],
      [
        await send("POST", "/v1/trainers/t/fetch", {
          json: { template: "none", step: 1, trainerVersion: 0 },
        }),
        404,
        "unknownStep",
      ],
    ] as const;
    for (const [answer, status, name] of refusals) {
      chai.expect(answer.status).to.equal(status);
      chai.expect(answer.json.error).to.include({ name, outcome: "notRun" });
    }
    chai.expect(runs).to.deep.equal([]);
  });

  it("gives a half-sent request up in time and runs nothing", async () => {
    const socket = net.connect(8080, BOX);
    socket.write(
      `POST /services/app/sync HTTP/1.1\r\nhost: b\r\nauthorization: Bearer ${TOKEN}\r\nidempotency-key: h\r\ncontent-length: 50\r\n\r\nhalf`,
    );
    const text = await new Promise<string>((resolve) =>
      socket.once("data", (chunk) => resolve(chunk.toString("utf8")))
    );
    socket.destroy();
    chai.expect(text).to.contain("408");
    chai.expect(runs).to.deep.equal([]);
  });

  it("runs a call that must not be repeated once and gives a resend the first answer", async () => {
    const first = await sync("k1");
    const again = await sync("k1");
    const other = await sync("k1", { key: "other" });
    chai.expect(first.status).to.equal(200);
    chai.expect(again).to.deep.equal(first);
    chai.expect(other.json.error).to.include({
      name: "keyReused",
      outcome: "notRun",
    });
    chai.expect(runs.length).to.equal(1);
  });

  for (const broken of ["truncate", "reset", "swap", "silent"] as const) {
    it(`says unknown when a server does ${broken} to a call that must not be repeated, and never runs it again`, async () => {
      manner = broken;
      const first = await sync(`k-${broken}`);
      manner = "answer";
      const again = await sync(`k-${broken}`);
      chai.expect(first.json.error).to.include({
        name: "backendFailed",
        outcome: "unknown",
      });
      chai.expect(again.json.error).to.include({
        name: "unknownOutcome",
        outcome: "unknown",
      });
      chai.expect(runs.length).to.equal(1);
    });
  }

  for (const broken of ["truncate", "swap"] as const) {
    it(`never gives a lookup's caller an answer that a server did ${broken}`, async () => {
      manner = broken;
      const answer = await send("GET", "/services/app/stock");
      chai.expect(answer.status).to.equal(502);
      chai.expect(answer.json.error.outcome).to.equal("unknown");
    });
  }

  it("refuses a change against another revision and one of another account", async () => {
    const change = {
      baseRevision: 99,
      requestId: "late",
      parameters: { trainer: "t", model: "m" },
    };
    const late = await send("PUT", "/v1/accounts/cascade/templates/notes", {
      json: change,
      port: 8081,
    });
    const foreign = await send("PUT", "/v1/accounts/other/templates/notes", {
      json: change,
      port: 8081,
    });
    chai.expect(late.json.error).to.include({
      name: "wrongRevision",
      outcome: "notRun",
    });
    chai.expect(foreign.json.error).to.include({
      name: "forbidden",
      outcome: "notRun",
    });
  });
});
