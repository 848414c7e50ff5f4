import * as httpClient from "../../src/http_client/mod.ts";
import * as topologies from "./topology.ts";
import * as deployments from "./deployment.ts";

/** A request to the administration API of a box. */
export interface AdminRequest {
  readonly method: string;
  readonly path: string;
  readonly timeoutMs: number;
  readonly json?: unknown;
}

/**
 * Sends a request to a box's administration API as root operator.
 *
 * @param address IP address of the box.
 * @param request The request to send.
 * @returns The response's JSON, or undefined if the status is not 200 or the
 * request failed.
 */
export async function sendAdminRequest(
  address: string,
  request: AdminRequest,
): Promise<unknown> {
  const answer = await httpClient.sendJson({
    ...request,
    baseUrl: `http://${address}:${topologies.ADMIN_PORT}`,
    headers: { authorization: `Bearer ${deployments.ROOT_TOKEN}` },
  });
  if (answer.kind === "failure" || answer.value.status !== 200) {
    return undefined;
  }
  return answer.value.json;
}
