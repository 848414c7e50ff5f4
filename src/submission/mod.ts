/**
 * Submissions: many requests that are accepted together and run later.
 *
 * @example
 * ```ts
 * import * as submissions from "../submission/mod.ts";
 * const machine = new submissions.SubmissionMachine(() => {});
 * machine.apply({ kind: "acceptSubmission", submission });
 * ```
 * @module
 */
export * from "./can_access.ts";
export * from "./build_result_page.ts";
export * from "./find_expired_submissions.ts";
export * from "./protocol.ts";
export * from "./saved_parts.ts";
export * from "./submission.ts";
export * from "./submission_command.ts";
export * from "./submission_ages.ts";
export * from "./submission_state_machine.ts";
export * from "./submission_service.ts";
