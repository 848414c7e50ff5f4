import type * as accounts from "../client_account/mod.ts";
import type * as submissions from "./submission.ts";

/**
 * Tells whether a sender may read and end a submission. Access is granted per
 * client account, so it remains after the key that was used is removed.
 *
 * @param sender The sender of the request.
 * @param submission The submission.
 * @returns Whether both belong to the same client account. True for a submission
 * without an account, and where the configuration has no accounts.
 */
export function canAccess(
  sender: accounts.Sender,
  submission: Pick<submissions.Submission, "sender">,
): boolean {
  const owner = submission.sender;
  if (owner.kind !== "account" || sender.kind === "unasked") return true;
  return sender.kind === "account" && sender.name === owner.name;
}
