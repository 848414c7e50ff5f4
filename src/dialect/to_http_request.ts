import type * as httpClient from "../http_client/mod.ts";
import type * as dialects from "./dialect.ts";

/** The fields of an HTTP request that an encoded call sets. */
export type CallFields = Pick<
  httpClient.HttpRequest,
  "method" | "path" | "headers" | "body"
>;

/** Converts an encoded call to the fields of the HTTP request that carries it. */
export function toHttpRequest(
  { method, target: path, headers, body }: dialects.OutboundRequest,
): CallFields {
  return { method, path, headers, ...(body === undefined ? {} : { body }) };
}
