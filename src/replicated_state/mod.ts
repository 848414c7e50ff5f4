/**
 * The replicated state: all aggregates, changed by one ordered log of commands.
 *
 * @example
 * ```ts
 * import * as replicated from "../replicated_state/mod.ts";
 * replicated.applyCommand(replicated.EMPTY_STATE, { kind: "noOperation" });
 * ```
 * @module
 */
export * from "./apply_command.ts";
export * from "./command.ts";
export * from "./replicated_state.ts";
export * from "./snapshot.ts";
