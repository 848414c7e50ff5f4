import type * as consensus from "../consensus/mod.ts";

/** Longest silence of a responsive follower, in ms. */
const MAX_SILENCE_MS = 250;

/** Input of a handover plan. */
export interface HandoverInput {
  /** Id of the previous holder of the duties; undefined if there is none. */
  readonly holder: string | undefined;
  /** Id of this box, the leader. */
  readonly self: string;
  /** Whether the previous holder is being stopped or drained. */
  readonly isHolderLeaving: boolean;
  /** Time since this box became leader, in ms. */
  readonly leadershipMs: number;
  /** Time that a new holder must wait before its first call, in ms. */
  readonly claimDelayMs: number;
  readonly voters: readonly string[];
  readonly followers: readonly consensus.FollowerStatus[];
}

/**
 * Decides whether to transfer leadership to the previous holder of the duties.
 * That box may act at once, while any other has to wait until the lease
 * expires; this shortens the pause after a restart of all boxes.
 *
 * @param input State known to this leader.
 * @returns Id of the box that should lead instead; undefined to keep leading.
 */
export function planHandover(
  input: HandoverInput,
): string | undefined {
  const {
    holder,
    self,
    isHolderLeaving,
    leadershipMs,
    claimDelayMs,
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
