/**
 * Audit trail: records of accepted changes to accounts and rollout templates.
 *
 * @example
 * ```ts
 * import * as audit from "../audit_trail/mod.ts";
 * audit.matchRecord(record, { account: "cascade" });
 * ```
 * @module
 */
export * from "./audit_record.ts";
