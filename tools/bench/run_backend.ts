/**
 * Backend server for benches: answers every request at once, writes no ledger.
 *
 * @example `tsx tools/bench/run_backend.ts ADDRESS PORT`
 * @module
 */
import * as http from "node:http";

const ANSWER = JSON.stringify({ text: "vintage ".repeat(64) });
const REPORT = JSON.stringify({ active: 0, queued: 0, slots: 64 });

const [address, port] = process.argv.slice(2);

http.createServer(
  { keepAliveTimeout: 30_000, noDelay: true },
  (request, response) => {
    const body = request.url === "/v1/status" ? REPORT : ANSWER;
    const requestId = request.headers["x-request-id"];
    if (requestId !== undefined) response.setHeader("x-request-id", requestId);
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": body.length,
    });
    response.end(body);
  },
).listen(Number(port), address);
