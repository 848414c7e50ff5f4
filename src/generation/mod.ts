/**
 * Token generation that resumes on another engine when one fails.
 *
 * @example
 * ```ts
 * import * as generation from "../generation/mod.ts";
 * await generation.generateTokens(request, options);
 * ```
 * @module
 */
export * from "./generate_tokens.ts";
