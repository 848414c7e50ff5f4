import type * as brokenServers from "../fixtures/broken_server.ts";
import type * as httpRequests from "./http_request.ts";
import * as sendRequest from "./send_request.ts";

let requestCount = 0;

/** Sends a request with an id of its own to a stand-in. */
export function ask(
  server: brokenServers.BrokenServer,
  changes: Partial<httpRequests.HttpRequest> = {},
): Promise<httpRequests.HttpOutcome> {
  requestCount += 1;
  return sendRequest.sendRequest({
    address: "127.0.0.1",
    port: server.getPort(),
    method: "POST",
    path: "/x",
    body: "abc",
    requestId: `id-${requestCount}`,
    timeoutMs: 10_000,
    ...changes,
  });
}
