/**
 * Interface between the service and the wire protocol of a platform. An
 * implementation decodes the platform's messages into the types of this module
 * and encodes them back.
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
export * from "./hop_by_hop_headers.ts";
export * from "./is_foreign_answer.ts";
export * from "./to_http_request.ts";
