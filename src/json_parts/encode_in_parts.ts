import * as heldBytes from "../held_bytes/mod.ts";

/** Levels of a value whose parts are encoded one by one. */
const MAX_DEPTH = 8;
/** Length of text from which it is added to the bytes, in characters. */
const BLOCK_CHARACTERS = 65_536;

/**
 * Encodes a large JSON value part by part, so that it is never held as one string
 * beside its bytes.
 *
 * @param start Bytes to put before the text.
 * @param value The value; its objects have no `toJSON` method.
 * @returns The bytes and the text of the value.
 */
export function encodeInParts(start: Buffer, value: unknown): Buffer {
  const collector = new heldBytes.ByteCollector();
  collector.append(start);
  let block = "";
  for (const part of listParts(value, MAX_DEPTH)) {
    block += part;
    if (block.length < BLOCK_CHARACTERS) continue;
    collector.append(Buffer.from(block));
    block = "";
  }
  collector.append(Buffer.from(block));
  return collector.takeBuffer();
}

function* listParts(value: unknown, depth: number): Generator<string> {
  if (depth === 0 || typeof value !== "object" || value === null) {
    yield JSON.stringify(value) ?? "null";
  } else if (Array.isArray(value)) yield* listElements(value, depth - 1);
  else yield* listFields(value, depth - 1);
}

function* listElements(
  values: readonly unknown[],
  depth: number,
): Generator<string> {
  let separator = "[";
  for (const value of values) {
    yield separator;
    yield* listParts(value, depth);
    separator = ",";
  }
  yield values.length === 0 ? "[]" : "]";
}

function* listFields(value: object, depth: number): Generator<string> {
  const fields = Object.entries(value).filter(([, field]) =>
    field !== undefined
  );
  let separator = "{";
  for (const [key, field] of fields) {
    yield `${separator}${JSON.stringify(key)}:`;
    yield* listParts(field, depth);
    separator = ",";
  }
  yield fields.length === 0 ? "{}" : "}";
}
