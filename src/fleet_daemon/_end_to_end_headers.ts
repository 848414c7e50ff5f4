import type * as dialects from "../dialect/mod.ts";

/** Headers of one connection or of its framing, which are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
]);

/** Returns a backend server's headers without the hop-by-hop ones. */
export function toEndToEndHeaders(
  headers: dialects.HeaderMap,
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name, value]) =>
        value !== undefined && !HOP_BY_HOP_HEADERS.has(name)
      )
      .map(([name, value]) => [name, String(value)]),
  );
}
