import type * as consensus from "../consensus/mod.ts";

/** Silence up to which the former holder counts as sound, in ms. */
const MAX_SILENCE_MS = 250;

/** What decides whether the former holder of the orders should lead. */
export interface HandoverInput {
  /** Id of the box that gave the last orders; undefined where none did. */
  readonly holder: string | undefined;
  /** Id of this box, which leads. */
  readonly self: string;
  /** Whether the holder is being stopped or emptied. */
  readonly isHolderLeaving: boolean;
  /** How long this box has led in its term, in ms. */
  readonly leadershipMs: number;
  /** How long a new holder must wait before its first order, in ms. */
  readonly claimDelayMs: number;
  readonly voters: readonly string[];
  readonly followers: readonly consensus.FollowerStatus[];
}

/**
 * Plans whether leadership goes back to the box that gave the last orders. That
 * box may order engines at once, while any other must wait the order lease out;
 * after a restart of all boxes at once that would cost seconds.
 *
 * @param input What this leader knows.
 * @returns Id of the box that should lead instead, or undefined.
 */
export function planHandover(
  input: HandoverInput,
): string | undefined {
  const {
    holder,
    self,
    isHolderLeaving,
    leadershipMs: leadershipMs,
    claimDelayMs: claimDelayMs,
    voters,
    followers,
  } = input;
  if (holder === undefined || holder === self || isHolderLeaving) {
    return undefined;
  }
  if (leadershipMs > claimDelayMs / 2 || !voters.includes(holder)) {
    return undefined;
  }
  const follower = followers.find(({ id }) => id === holder);
  if (follower === undefined || !follower.isAdmitted) return undefined;
  return follower.silentMs <= MAX_SILENCE_MS ? holder : undefined;
}
