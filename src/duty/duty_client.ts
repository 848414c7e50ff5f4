import * as dialects from "../dialect/mod.ts";
import type * as fleetSettings from "../fleet_settings/mod.ts";
import * as httpClient from "../http_client/mod.ts";

/** Timeout of a call to the infrastructure, in ms. */
const CALL_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 400;
/** Largest answer, in bytes. */
const MAX_ANSWER_BYTES = 256 * 1024;
const FIRST_NON_SUCCESS_STATUS = 300;

/** Outcome of a call to the infrastructure. */
export type DutyCallOutcome =
  | { readonly kind: "taken" }
  | { readonly kind: "refused"; readonly status: number }
  /** No response; the call may still take effect. */
  | { readonly kind: "unanswered"; readonly reason: string };

/**
 * Calls the infrastructure once, on a new connection, without retries.
 *
 * @param endpoint Address and port of the infrastructure's API.
 * @param request The request.
 * @returns The outcome; failures of the connection are outcomes, too.
 */
export async function sendDutyCall(
  endpoint: fleetSettings.Endpoint,
  request: dialects.OutboundRequest,
): Promise<DutyCallOutcome> {
  const sent = await httpClient.sendRequest({
    ...dialects.toHttpRequest(request),
    address: endpoint.address,
    port: endpoint.port,
    timeoutMs: CALL_TIMEOUT_MS,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxResponseBytes: MAX_ANSWER_BYTES,
    isFreshConnection: true,
  });
  if (sent.kind !== "answered") {
    return { kind: "unanswered", reason: sent.message };
  }
  const { status } = sent.head;
  return status < FIRST_NON_SUCCESS_STATUS
    ? { kind: "taken" }
    : { kind: "refused", status };
}
