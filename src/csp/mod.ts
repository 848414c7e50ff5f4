/**
 * Typed channels, processes, signals and cancellation over js-csp.
 *
 * @example
 * ```ts
 * import * as csp from "../csp/mod.ts";
 * const inbox = new csp.Channel<number>(16);
 * csp.runProcess(function* () {
 *   const value = yield* inbox.take();
 * }, console.error);
 * ```
 * @module
 */
export * from "./cancellation.ts";
export * from "./channel.ts";
export * from "./run_process.ts";
export * from "./signal.ts";
export * from "./wait_for.ts";
