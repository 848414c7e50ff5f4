/**
 * Validation of configuration changes by operators.
 *
 * @example
 * ```ts
 * import * as checks from "../change_check/mod.ts";
 * checks.checkChange(schema, current, { stalenessMs: 5_000 });
 * ```
 * @module
 */
export * from "./check_change.ts";
