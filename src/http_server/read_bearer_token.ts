import type * as http from "node:http";

const BEARER_PATTERN = /^Bearer (.+)$/;

/**
 * Reads the bearer token from the `authorization` header.
 *
 * @param request The request.
 * @returns The token, or undefined if there is none.
 */
export function readBearerToken(
  request: http.IncomingMessage,
): string | undefined {
  return BEARER_PATTERN.exec(request.headers.authorization ?? "")?.[1];
}
