import type * as http from "node:http";

const BEARER = /^Bearer (.+)$/;

/**
 * Reads a request's bearer token.
 *
 * @param request The request.
 * @returns The token, or undefined if it has none.
 */
export function readBearer(request: http.IncomingMessage): string | undefined {
  return BEARER.exec(request.headers.authorization ?? "")?.[1];
}
