import type * as dialects from "../dialect/mod.ts";

const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
]);

/** Gives a server's headers less those of its connection. */
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
