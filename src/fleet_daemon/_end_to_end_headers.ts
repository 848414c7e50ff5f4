import type * as dialects from "../dialect/mod.ts";

/**
 * Headers of one connection or of its framing, which are not forwarded. Trailer
 * fields are dropped with a body's framing, so `trailer` announces none.
 */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Lists the headers that a `connection` header names as those of its connection. */
function listConnectionHeaders(
  { connection }: dialects.HeaderMap,
): readonly string[] {
  return String(connection ?? "")
    .split(",")
    .map((name) => name.trim().toLowerCase());
}

/** Returns a backend server's headers without the hop-by-hop ones. */
export function toEndToEndHeaders(
  headers: dialects.HeaderMap,
): Readonly<Record<string, string>> {
  const named = listConnectionHeaders(headers);
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name, value]) =>
        value !== undefined && !HOP_BY_HOP_HEADERS.has(name) &&
        !named.includes(name)
      )
      .map(([name, value]) => [name, String(value)]),
  );
}
