import * as http from "node:http";

/** A request to a stand-in, with its body parsed as JSON. */
export interface StandInRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  /** The parsed body; empty if the request has none. */
  readonly json: Readonly<Record<string, unknown>>;
  readonly response: http.ServerResponse;
}

async function readText(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

async function handleRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  handler: (request: StandInRequest) => Promise<void> | void,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://stand-in");
  const text = await readText(request);
  const requestId = request.headers["x-request-id"];
  if (typeof requestId === "string") {
    response.setHeader("x-request-id", requestId);
  }
  await handler({
    method: request.method ?? "GET",
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    json: text === "" ? {} : JSON.parse(text),
    response,
  });
}

/**
 * Starts an HTTP server for a stand-in. If the body of a request is not JSON or
 * the handler fails, its connection is destroyed.
 *
 * @param address IP address to listen on.
 * @param port Port to listen on.
 * @param handler Answers each request.
 * @returns The listening server; rejects if it cannot listen.
 */
export function startServer(
  address: string,
  port: number,
  handler: (request: StandInRequest) => Promise<void> | void,
): Promise<http.Server> {
  const server = http.createServer(
    { keepAliveTimeout: 30_000, noDelay: true },
    (request, response) => {
      handleRequest(request, response, handler).catch(() => response.destroy());
    },
  );
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => resolve(server));
  });
}

/**
 * Sends a JSON response.
 *
 * @param response The response to write and end.
 * @param status HTTP status.
 * @param value The body, before serialization.
 */
export function answerJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}
