import * as crypto from "node:crypto";
import * as accounts from "../client_account/mod.ts";

/** Identifies a piece of work across the requests that repeat it. */
export type WorkDigest = string;

/** Request properties that identify a piece of work. */
export interface Work {
  readonly sender: accounts.Sender;
  readonly method: string;
  /** Host from the request. */
  readonly host: string;
  /** Path with query. */
  readonly target: string;
  readonly body: Buffer;
  /**
   * Whether the work was accepted to be done later. It has a digest apart from that
   * of a request with the same content, so that neither counts for the other.
   */
  readonly isOwed?: boolean;
}

/** Precedes the method in the digest of owed work. */
const OWED_PREFIX = "owed ";

/** Hexadecimal digits of a digest; 128 bits resist deliberate collisions. */
const DIGEST_DIGITS = 32;

/**
 * Computes the digest of a piece of work. It covers the client account, so that
 * no account can block the work of another. It excludes headers, which differ
 * between attempts.
 *
 * @param work The work.
 * @returns The digest, in hexadecimal.
 */
export function computeWorkDigest(work: Work): WorkDigest {
  const { sender, host, target, body, isOwed } = work;
  const method = isOwed === true ? OWED_PREFIX + work.method : work.method;
  const account = accounts.getAccountName(sender);
  const head = JSON.stringify([sender.kind, account, method, host, target]);
  return crypto.createHash("sha256").update(head).update("\n").update(body)
    .digest("hex").slice(0, DIGEST_DIGITS);
}
