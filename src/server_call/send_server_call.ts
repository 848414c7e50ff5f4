import type * as csp from "../csp/mod.ts";
import * as dialects from "../dialect/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import type * as registry from "../registry/mod.ts";

/** Timeout of a call, in ms. */
const CALL_TIMEOUT_MS = 600;
const CONNECT_TIMEOUT_MS = 250;
/** Largest answer to a call, in bytes. */
const MAX_ANSWER_BYTES = 256 * 1024;

/** Options of {@linkcode sendServerCall}. */
export interface ServerCallOptions {
  /** Whether to open a new connection; only reads may share one. */
  readonly isFreshConnection: boolean;
  readonly cancellation?: csp.Cancellation;
}

/**
 * Sends a server a call that is no request of a caller, without retries.
 *
 * @param server The server.
 * @param call The call, encoded.
 * @param options Its connection and cancellation.
 * @returns The outcome; the promise is never rejected.
 */
export function sendServerCall(
  { address, port }: Pick<registry.ServerReport, "address" | "port">,
  call: dialects.OutboundRequest,
  options: ServerCallOptions,
): Promise<httpClient.HttpOutcome> {
  return httpClient.sendRequest({
    ...dialects.toHttpRequest(call),
    address,
    port,
    timeoutMs: CALL_TIMEOUT_MS,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxResponseBytes: MAX_ANSWER_BYTES,
    ...options,
  });
}

/**
 * Sends a server a read of its state. A read is idempotent, so it may share a
 * connection: if the server has closed that one, the read can be repeated.
 *
 * @param server The server.
 * @param dialect Encoding of the call.
 * @param cancellation Aborts the read when cancelled.
 * @returns The outcome; the promise is never rejected.
 */
export function sendStateRead(
  server: registry.ServerReport,
  dialect: Pick<dialects.Dialect, "createReportRequest">,
  cancellation?: csp.Cancellation,
): Promise<httpClient.HttpOutcome> {
  return sendServerCall(server, dialect.createReportRequest(server.id), {
    isFreshConnection: false,
    ...(cancellation === undefined ? {} : { cancellation }),
  });
}
