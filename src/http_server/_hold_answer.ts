import type * as http from "node:http";
import * as heldBytes from "../held_bytes/mod.ts";

/** Answers of up to this size, in bytes, are not counted as held. */
const MAX_UNCOUNTED_BYTES = 64 * 1024;

/**
 * Counts the bytes of an answer as held until its caller has taken them. If the
 * process holds too many, the connection of the caller that reads least is closed.
 *
 * @param response The response, before its body is written.
 * @param body The whole body.
 * @param held Bounds the bytes of all requests.
 */
export function holdAnswer(
  response: http.ServerResponse,
  body: Buffer,
  held: heldBytes.HeldBytes = heldBytes.SHARED_HELD_BYTES,
): void {
  if (body.length <= MAX_UNCOUNTED_BYTES) return;
  const holder = { abort: () => void response.destroy() };
  response.once("close", () => held.releaseToCollector(holder));
  held.add(holder, body.length);
}
