/**
 * JSON texts of large values, encoded in parts so that they take up little memory.
 *
 * @example
 * ```ts
 * import * as jsonParts from "../json_parts/mod.ts";
 * const bytes = jsonParts.encodeJson(value);
 * ```
 * @module
 */
export * from "./encode_in_parts.ts";
export * from "./encode_json.ts";
