/**
 * A backend server of the platform's protocol as a process of its own: a model
 * server (`engine`) or a plain one. Options come as one JSON argument; what it runs
 * goes to standard output, one JSON line each.
 */
import * as http from "node:http";

const options = JSON.parse(process.argv[2]);
const {
  id,
  kind,
  service,
  address,
  zone,
  controls,
  slots = 12,
  model = "m0",
  events = 20,
  eventMs = 40,
  workMs = 20,
  isFramed = true,
  eventBytes = 16,
} = options;

let sequence = 0;
let version = options.version ?? 1;
let orders = 0;
let running = 0;
let isCrashing = false;

// Each run stops inside its next event; the test kills the process then.
process.on("SIGUSR2", () => {
  isCrashing = true;
});

const say = (entry) =>
  process.stdout.write(`${JSON.stringify({ at: Date.now(), server: id, ...entry })}\n`);

/** Data of an event: the same on every server, as a run may go on elsewhere. */
export function eventData(item, number, bytes) {
  return `${item}.${number}.${"x".repeat(Math.max(0, bytes))}`;
}

function refuse(response, status, requestId, headers = {}) {
  response.writeHead(status, {
    ...(requestId === undefined ? {} : { "x-request-id": requestId }),
    ...headers,
  });
  response.end();
}

function handle(request, response, body) {
  const { headers, url } = request;
  if (url === "/report") {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      stage: "both",
      models: [{ name: model, version, adapters: [] }],
      busy: false,
      sequence: orders,
      waiting: 0,
      running,
      kv_cache_used: 0,
      kv_cache_total: 90000,
      handles: 0,
    }));
    return;
  }
  const requestId = headers["x-request-id"];
  const expected = headers["x-expected-instance"];
  if (expected !== undefined && expected !== id) {
    return refuse(response, 421, requestId, { "x-instance-id": id });
  }
  if (url === "/health") {
    response.writeHead(200, { "x-instance-id": id });
    return void response.end();
  }
  if (url === "/order") {
    const order = JSON.parse(body.toString());
    say({ what: "order", ...order });
    if (order.expected_revision !== undefined && order.expected_revision !== orders) {
      return refuse(response, 409, requestId);
    }
    if (version >= order.version) return refuse(response, 200, requestId);
    orders += 1;
    version = order.version;
    return refuse(response, 202, requestId);
  }
  if (requestId === undefined) {
    return refuse(response, 400, undefined, { "x-not-executed": "1" });
  }
  if (running >= slots) {
    return refuse(response, 503, requestId, { "x-not-executed": "1" });
  }
  running += 1;
  response.once("close", () => running -= 1);
  const stamp = `${id}.${requestId}`;
  const last = headers["last-event-id"];
  say({ what: "run", request: requestId, path: url, last, bytes: body.length });
  const head = { "x-request-id": requestId, "x-server-stamp": stamp };
  if (kind === "plain") {
    setTimeout(() => {
      const answer = Buffer.from(`answer to ${requestId}`);
      response.writeHead(200, { ...head, "content-length": answer.length });
      response.end(answer);
    }, workMs);
    return;
  }
  if (!isFramed) {
    // The answer has no length and ends with its connection.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, {
    ...head,
    "content-type": "text/event-stream",
    "x-weight-versions": String(version),
    ...(isFramed ? {} : { connection: "close" }),
  });
  response.flushHeaders();
  let number = Number(last ?? 0);
  const step = () => {
    if (response.destroyed) return;
    if (isCrashing) {
      const half = `id: ${number + 1}\ndata: ${eventData(requestId, number + 1, eventBytes)}`;
      response.write(half.slice(0, Math.ceil(half.length / 2)));
      say({ what: "half", request: requestId, whole: number });
      return;
    }
    number += 1;
    if (number > events) {
      say({ what: "whole", request: requestId });
      return void response.end();
    }
    const data = eventData(requestId, number, eventBytes);
    response.write(`id: ${number}\ndata: ${data}\n\n`);
    setTimeout(step, eventMs);
  };
  setTimeout(step, eventMs);
}

const server = http.createServer((request, response) => {
  const chunks = [];
  request.on("data", (chunk) => chunks.push(chunk));
  request.on("end", () => handle(request, response, Buffer.concat(chunks)));
  response.on("error", () => {});
});

async function beat() {
  sequence += 1;
  const body = JSON.stringify({
    service,
    address,
    zone,
    version: "v1",
    slots,
    state: "ready",
    cold_remaining_ms: 0,
    ...(kind === "engine"
      ? { stage: "both", models: [{ name: model, version, adapters: [] }] }
      : {}),
    sequence,
  });
  for (let at = 0; at < controls.length; at += 1) {
    const control = controls[(sequence + at) % controls.length];
    const isTaken = await new Promise((resolve) => {
      const request = http.request(
        `http://${control}/Instances.Heartbeat/${id}`,
        {
          method: "POST",
          agent: false,
          headers: { "content-type": "application/json" },
        },
        (response) => {
          response.resume();
          response.on("end", () =>
            resolve(response.statusCode >= 200 && response.statusCode < 300)
          );
          response.on("error", () => resolve(false));
        },
      );
      request.setTimeout(1_000, () => request.destroy());
      request.on("error", () => resolve(false));
      request.end(body);
    });
    if (isTaken) return;
  }
}

const [ip, port] = address.split(":");
server.listen(Number(port), ip, () => {
  say({ what: "up" });
  void beat();
  setInterval(() => void beat(), 1_200);
});
