/**
 * Headers of one connection or of its framing, in lower case, which are forwarded
 * neither with requests nor with answers. A trailer's fields are dropped with the
 * framing of a body, so `trailer` announces none.
 */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
