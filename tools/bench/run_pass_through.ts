/**
 * Minimal reverse proxy on Node's `http`, the baseline of the path bench. It
 * buffers each answer and sends it whole.
 *
 * @example `tsx tools/bench/run_pass_through.ts ADDRESS PORT TARGET TARGET_PORT`
 * @module
 */
import * as http from "node:http";

const [address, port, target, targetPort] = process.argv.slice(2);
const agent = new http.Agent({
  keepAlive: true,
  maxFreeSockets: 32,
  scheduling: "lifo",
});

function forwardRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const options = {
    host: target,
    port: Number(targetPort),
    method: request.method,
    path: request.url,
    agent,
  };
  const forward = http.request(options, (answer) => {
    const chunks: Buffer[] = [];
    answer.on("data", (chunk: Buffer) => chunks.push(chunk));
    answer.on("end", () => {
      const body = Buffer.concat(chunks);
      response.writeHead(answer.statusCode ?? 502, {
        "content-type": answer.headers["content-type"] ?? "",
        "content-length": String(body.length),
      });
      response.end(body);
    });
  });
  forward.on("error", () => response.destroy());
  request.pipe(forward);
}

http.createServer({ keepAliveTimeout: 30_000, noDelay: true }, forwardRequest)
  .listen(Number(port), address);
