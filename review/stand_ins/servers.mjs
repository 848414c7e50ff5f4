// Stand-ins for servers on raw sockets, which let a case decide every byte.
import net from "node:net";
import { call } from "./client.mjs";
import { PORTS, sleep } from "./fleet.mjs";

const HEARTBEAT_MS = 1200;

/** Reads the requests of one connection, one after the other. */
function readRequests(socket, onRequest) {
  let bytes = Buffer.alloc(0);
  socket.on("data", (chunk) => {
    bytes = Buffer.concat([bytes, chunk]);
    for (;;) {
      const end = bytes.indexOf("\r\n\r\n");
      if (end < 0) return;
      const [first, ...lines] = bytes.subarray(0, end).toString("latin1").split("\r\n");
      const [method, path] = first.split(" ");
      const headers = Object.fromEntries(
        lines.map((line) => {
          const at = line.indexOf(":");
          return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
        }),
      );
      const length = Number(headers["content-length"] ?? 0);
      if (bytes.length < end + 4 + length) return;
      const body = bytes.subarray(end + 4, end + 4 + length);
      bytes = bytes.subarray(end + 4 + length);
      onRequest({ method, path, headers, body });
    }
  });
}

/** Formats an answer with a length. */
export function formatAnswer(status, headers, body = "") {
  const all = { ...headers, "Content-Length": Buffer.byteLength(body) };
  const head = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join("");
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} X\r\n${head}\r\n`), Buffer.from(body)]);
}

/** One server: listens, sends status reports and passes requests to `handle`. */
export class Server {
  /** @param options id, ip, port, service, zone, slots, models, handle(request, socket, server) */
  constructor(fleet, options) {
    Object.assign(this, options);
    this.fleet = fleet;
    this.sockets = new Set();
    this.isUp = false;
    this.sequence = 0;
  }

  async start() {
    this.listener = net.createServer((socket) => {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("error", () => {});
      socket.on("close", () => this.sockets.delete(socket));
      readRequests(socket, (request) => this.#receive(request, socket));
    });
    await new Promise((resolve, reject) => {
      this.listener.once("error", reject);
      this.listener.listen(this.port, this.ip, resolve);
    });
    this.isUp = true;
    void this.#sendReports();
  }

  #receive(request, socket) {
    const expected = request.headers["x-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      socket.write(formatAnswer(421, { "X-Request-Id": request.headers["x-request-id"] ?? "", "X-Not-Executed": "1" }));
      return;
    }
    if (request.path === "/report") {
      socket.write(formatAnswer(200, { "Content-Type": "application/json" }, JSON.stringify({
        stage: "both", models: this.models ?? [], busy: false, sequence: this.orders ?? 0,
        waiting: 0, running: 0, kv_cache_used: 0, kv_cache_total: 90000, handles: 0,
      })));
      return;
    }
    if (request.path === "/order") {
      const order = JSON.parse(request.body.toString());
      this.orders = (this.orders ?? 0) + 1;
      for (const model of this.models ?? []) {
        if (model.name === order.model) model.version = order.version;
      }
      this.fleet.record.write("order at server", { server: this.id, ...order });
      socket.write(formatAnswer(202, {}));
      return;
    }
    this.handle(request, socket, this);
  }

  async #sendReports() {
    const { entries } = this.fleet;
    for (let turn = Math.floor(Math.random() * entries.length); this.isUp; turn += 1) {
      const entry = entries[turn % entries.length];
      this.sequence += 1;
      const answer = await call({
        ip: entry.ip, port: PORTS.control, method: "POST", path: `/Instances.Heartbeat/${this.id}`,
        body: JSON.stringify({
          service: this.service, address: `${this.ip}:${this.port}`, zone: this.zone, version: "v1",
          slots: this.slots, state: "ready", cold_remaining_ms: 0, stage: "both",
          models: (this.models ?? []).map((model) => ({ ...model, adapters: [] })), sequence: this.sequence,
        }),
      });
      if (answer.status === 200) await sleep(HEARTBEAT_MS);
      else await sleep(20);
    }
  }

  /** Ends the server as a crash does: it says nothing, and its connections break. */
  crash() {
    this.isUp = false;
    this.listener.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }
}
