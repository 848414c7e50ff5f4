import * as httpClient from "../http_client/mod.ts";
import type * as dialects from "./dialect.ts";

/**
 * Reports whether an answer belongs to another request than the one that waits for
 * it, whatever its status: a surplus answer may arrive in the place where the next
 * one is due. Only a server that isn't the expected one may name no request, as may
 * any that answers a request without an id.
 *
 * @param status Status of the answer.
 * @param head Its parsed headers.
 * @param requestId Id of the request that waits, if it has one.
 */
export function isForeignAnswer(
  status: number,
  head: Pick<dialects.AnswerHead, "requestId">,
  requestId: string | undefined,
): boolean {
  const named = head.requestId === "" ? undefined : head.requestId;
  if (named === requestId) return false;
  return named !== undefined || status !== httpClient.MISDIRECTED_STATUS;
}
