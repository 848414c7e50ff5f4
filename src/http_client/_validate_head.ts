import type * as http from "node:http";

/** Statuses of final responses (RFC 9110, section 15). */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

/** The parts of a response that {@linkcode validateHead} checks. */
export type ParsedHead = Pick<http.IncomingMessage, "statusCode">;

/**
 * Checks what Node's parser lets pass in the head of a final response.
 *
 * @param head The head.
 * @returns Why the response is no answer to its request, or undefined if it is one.
 */
export function validateHead(head: ParsedHead): string | undefined {
  const { statusCode: status = 0 } = head;
  if (status < MIN_STATUS || status > MAX_STATUS) {
    return `the status ${status} is not that of an answer`;
  }
  return undefined;
}
