/**
 * What a platform's adapter gives: its words as our types, and back.
 *
 * @example
 * ```ts
 * import type * as dialects from "../dialect/mod.ts";
 * function answer(dialect: dialects.Dialect): dialects.RawAnswer {
 *   return dialect.formatDone();
 * }
 * ```
 * @module
 */
export * from "./dialect.ts";
