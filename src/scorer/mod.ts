/**
 * Client of the services that score samples.
 *
 * @example
 * ```ts
 * import * as scorers from "../scorer/mod.ts";
 * await new scorers.ScorerClient(options).score("prompt", [1, 2]);
 * ```
 * @module
 */
export * from "./scorer_client.ts";
