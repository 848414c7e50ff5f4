/**
 * The audit trail: who changed what, when, from what to what.
 *
 * @example
 * ```ts
 * import * as audit from "../audit_trail/mod.ts";
 * audit.matchRecord(record, { account: "cascade" });
 * ```
 * @module
 */
export * from "./audit_record.ts";
