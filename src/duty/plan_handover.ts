import type * as consensus from "../consensus/mod.ts";

/** Silence up to which the former holder counts as sound, in ms. */
const SOUND_MS = 250;

/** What decides whether the former holder of the orders should lead. */
export interface HandoverSituation {
  /** Id of the box that gave the last orders; undefined where none did. */
  readonly holder: string | undefined;
  /** Id of this box, which leads. */
  readonly self: string;
  /** Whether the holder is being stopped or emptied. */
  readonly isHolderLeaving: boolean;
  /** How long this box has led in its term, in ms. */
  readonly reignMs: number;
  /** How long a new holder must wait before its first order, in ms. */
  readonly waitMs: number;
  readonly voters: readonly string[];
  readonly followers: readonly consensus.FollowerStatus[];
}

/**
 * Plans whether leadership goes back to the box that gave the last orders. That
 * box may order engines at once, while any other must wait the order lease out;
 * after a restart of all boxes at once that would cost seconds.
 *
 * @param situation What this leader knows.
 * @returns Id of the box that should lead instead, or undefined.
 */
export function planHandover(
  situation: HandoverSituation,
): string | undefined {
  const { holder, self, isHolderLeaving, reignMs, waitMs, voters, followers } =
    situation;
  if (holder === undefined || holder === self || isHolderLeaving) {
    return undefined;
  }
  if (reignMs > waitMs / 2 || !voters.includes(holder)) return undefined;
  const follower = followers.find(({ id }) => id === holder);
  if (follower === undefined || !follower.isAdmitted) return undefined;
  return follower.silentMs <= SOUND_MS ? holder : undefined;
}
