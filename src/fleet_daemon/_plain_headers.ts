import type * as dialects from "../dialect/mod.ts";

const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
]);

/** Gives a server's headers less those of its connection. */
export function toPlainHeaders(
  headers: dialects.HeaderMap,
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name, value]) =>
        value !== undefined && !CONNECTION_HEADERS.has(name)
      )
      .map(([name, value]) => [name, String(value)]),
  );
}
