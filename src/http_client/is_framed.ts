import type * as httpRequests from "./http_request.ts";

/**
 * Tells whether the end of a response's body is marked by a length or by chunked
 * encoding. Otherwise it ends with its connection, as after a crash of the server.
 */
export function isFramed(
  { headers }: Pick<httpRequests.ResponseHead, "headers">,
): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
