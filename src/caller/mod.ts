/**
 * Adapter to callers: addresses, completions, plain services.
 *
 * @example
 * ```ts
 * import * as callers from "../caller/mod.ts";
 * await new callers.CallerListener(context, trainers).start();
 * ```
 * @module
 */
export * from "./admit_call.ts";
export * from "./list_addresses.ts";
export * from "./caller_context.ts";
export * from "./caller_listener.ts";
export * from "./find_route.ts";
export * from "./retry_budget.ts";
export * from "./serve_completion.ts";
export * from "./serve_at_most_once.ts";
export * from "./serve_repeatable.ts";
