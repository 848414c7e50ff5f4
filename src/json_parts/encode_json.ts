import * as heldBytes from "../held_bytes/mod.ts";
import * as encodeInParts from "./encode_in_parts.ts";

const NO_BYTES = Buffer.alloc(0);

/**
 * Encodes a JSON value; a large one in parts.
 *
 * @param value The value; its objects have no `toJSON` method.
 * @returns The UTF-8 text.
 */
export function encodeJson(value: unknown): Buffer {
  return isLarge(value)
    ? encodeInParts.encodeInParts(NO_BYTES, value)
    : Buffer.from(JSON.stringify(value));
}

/** Reports whether the strings of a value are as long as a large message. */
export function isLarge(value: unknown): boolean {
  return countCharacters(value, heldBytes.LARGE_MESSAGE_BYTES) <= 0;
}

/** Subtracts the lengths of the strings in a value, until nothing is left. */
function countCharacters(value: unknown, left: number): number {
  if (typeof value === "string") return left - value.length;
  if (typeof value !== "object" || value === null) return left;
  let rest = left;
  for (const key in value) {
    if (rest <= 0) return rest;
    rest = countCharacters((value as Record<string, unknown>)[key], rest);
  }
  return rest;
}
