import type * as accounts from "../client_account/mod.ts";
import type * as submissions from "./submission.ts";

/**
 * Tells whether a sender may read and end a submission: any key of the account
 * that sent it will do, also after the key that opened it was taken away.
 *
 * @param sender Who asks.
 * @param submission The submission.
 * @returns Whether it is the sender's; one without an account is everyone's.
 */
export function canAccess(
  sender: accounts.Sender,
  submission: Pick<submissions.Submission, "sender">,
): boolean {
  const owner = submission.sender;
  if (owner.kind !== "account" || sender.kind === "unasked") return true;
  return sender.kind === "account" && sender.name === owner.name;
}
