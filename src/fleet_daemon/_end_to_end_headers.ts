import * as dialects from "../dialect/mod.ts";

/** Headers of an answer that are not forwarded. */
const STRIPPED_HEADERS: ReadonlySet<string> = new Set([
  ...dialects.HOP_BY_HOP_HEADERS,
  "proxy-authenticate",
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
        value !== undefined && !STRIPPED_HEADERS.has(name) &&
        !named.includes(name)
      )
      .map(([name, value]) => [name, String(value)]),
  );
}
