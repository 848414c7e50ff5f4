import type * as http from "node:http";

const BEARER_PATTERN = /^Bearer (.+)$/;

/**
 * Reads a request's bearer token.
 *
 * @param request The request.
 * @returns The token, or undefined if it has none.
 */
export function readBearerToken(
  request: http.IncomingMessage,
): string | undefined {
  return BEARER_PATTERN.exec(request.headers.authorization ?? "")?.[1];
}
