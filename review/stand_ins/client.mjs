// Calls of clients, trainers and the operator, each on a new connection.
import http from "node:http";
import { PORTS, sleep } from "./fleet.mjs";

/** Sends one request; `status` is 0 if no complete answer came. */
export function call({ ip, port, method = "GET", path, headers = {}, body, timeoutMs = 1000, agent = false }) {
  return new Promise((resolve) => {
    const startMs = Date.now();
    let isDone = false;
    const settle = (answer) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve({ tookMs: Date.now() - startMs, ...answer });
    };
    const request = http.request({
      host: ip, port, method, path, agent,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }),
      },
    });
    const timer = setTimeout(() => {
      settle({ status: 0, error: "no answer in time" });
      request.destroy();
    }, timeoutMs);
    request.on("error", (error) => settle({ status: 0, error: error.message }));
    request.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", (error) => settle({ status: 0, error: error.message }));
      response.on("end", () => {
        if (!response.complete) return settle({ status: 0, error: "answer ended early" });
        settle({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks) });
      });
    });
    request.end(body);
  });
}

/** The operator sends a configuration until it is taken. */
export async function putConfiguration(fleet, configuration, endMs) {
  const body = JSON.stringify(configuration);
  for (let turn = 0; Date.now() < endMs; turn += 1) {
    const entry = fleet.entries[turn % fleet.entries.length];
    const answer = await call({
      ip: entry.ip, port: PORTS.control, method: "POST", path: "/Configuration.Replace", body, timeoutMs: 1000,
    });
    fleet.record.write("operator sends configuration", { version: configuration.version, to: entry.name, status: answer.status });
    if (answer.status === 200) return true;
    if (answer.status >= 400 && answer.status < 500) return false;
    await sleep(200);
  }
  return false;
}

/** Waits until all entry boxes say that they are ready. */
export async function awaitReady(fleet, endMs) {
  while (Date.now() < endMs) {
    const answers = await Promise.all(
      fleet.entries.map((entry) => call({ ip: entry.ip, port: PORTS.ready, path: "/ready", timeoutMs: 500 })),
    );
    if (answers.every(({ status }) => status === 200)) return true;
    await sleep(200);
  }
  return false;
}

export function toBase64(text) {
  return Buffer.from(text).toString("base64");
}
