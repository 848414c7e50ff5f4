import * as httpClient from "../../src/http_client/mod.ts";
import * as topologies from "./topology.ts";
import * as deployments from "./deployment.ts";

/** A question to the administration API of a box. */
export interface AdminRequest {
  readonly method: string;
  readonly path: string;
  readonly timeoutMs: number;
  readonly json?: unknown;
}

/**
 * Asks a box as root operator.
 *
 * @param address IP number of the box.
 * @param request What is asked.
 * @returns The answer's JSON, or undefined unless it was 200.
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
