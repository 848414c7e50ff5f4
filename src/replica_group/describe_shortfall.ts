import * as consensus from "../consensus/mod.ts";
import type * as planVoters from "./plan_voters.ts";

/** What the leader judges the strength of its group by. */
export interface ShortfallInput {
  readonly plan: planVoters.VoterPlanInput;
  /** Whether the newest voter set, which `plan.voters` lists, is committed. */
  readonly isSetCommitted: boolean;
  /** Number of further disks whose loss the group should bear. */
  readonly lossesToBear: number;
}

/** One thing that a group waits for before it bears the losses again. */
export type Need =
  /** The newest voter set is not committed. */
  | { readonly kind: "change" }
  /** A voter answers and does not count: it lost its disk and catches up. */
  | {
    readonly kind: "unadmittedVoter";
    readonly id: string;
    /** Committed entries that it lacks. */
    readonly lag: number;
  }
  /** A voter does not answer. */
  | {
    readonly kind: "silentVoter";
    readonly id: string;
    /** Age of its last answer, in ms; infinite if this leader has none. */
    readonly silentMs: number;
  }
  /** A box that catches up so that it can become a voter. */
  | {
    readonly kind: "learner";
    readonly id: string;
    /** Committed entries that it lacks. */
    readonly lag: number;
    /** Age of its last answer, in ms; infinite if this leader has none. */
    readonly silentMs: number;
  }
  /** A box that could become a voter; the leader does not send it the log. */
  | { readonly kind: "spare"; readonly id: string }
  /** There are fewer boxes than places to take. */
  | { readonly kind: "noBox" };

/** What the strength of a group is judged by. */
export interface VoterCount {
  /** The newest voter set. */
  readonly voters: readonly string[];
  /** Voters that answer and count towards a quorum, including the leader. */
  readonly counted: readonly string[];
  /** Counted voters that can be lost until no quorum is left; may be negative. */
  readonly lossesLeft: number;
}

/** A group that bears the losses that it should. */
export interface WholeGroup extends VoterCount {
  readonly kind: "whole";
}

/** A group that doesn't bear the losses that it should. */
export interface Shortfall extends VoterCount {
  readonly kind: "short";
  /** What the group waits for; never empty. */
  readonly needs: readonly Need[];
}

/** Whether a group bears the losses that it should, as its leader sees it. */
export type GroupStrength = WholeGroup | Shortfall;

/**
 * Judges whether a group bears the loss of further disks, whichever they are: the
 * voters that answer and count, less the losses, must be a majority of the voters.
 * A set that is not committed bears none, as until then the set before it, which
 * the leader's status does not list, may decide as well.
 *
 * @param input What the leader knows. It must have authority, as before that it
 * does not know whether its set is committed.
 * @returns The strength of the group.
 */
export function describeShortfall(input: ShortfallInput): GroupStrength {
  const { plan, isSetCommitted, lossesToBear } = input;
  const { voters } = plan;
  const counted = voters.filter((id) => isCounted(id, plan));
  const lossesLeft = counted.length - consensus.countQuorum(voters);
  const count: VoterCount = { voters, counted, lossesLeft };
  if (isSetCommitted && lossesLeft >= lossesToBear) {
    return { kind: "whole", ...count };
  }
  const change: readonly Need[] = isSetCommitted ? [] : [{ kind: "change" }];
  const missing = voters.filter((id) => !counted.includes(id));
  const places = plan.wanted - counted.length;
  const needs = [
    ...change,
    ...missing.map((id) => describeMissingVoter(id, plan)),
    ...listStandIns(places, plan),
  ];
  return { kind: "short", ...count, needs };
}

function isCounted(id: string, plan: planVoters.VoterPlanInput): boolean {
  if (id === plan.self) return true;
  const follower = findFollower(id, plan);
  return follower !== undefined && isResponsive(follower) &&
    follower.isAdmitted;
}

function describeMissingVoter(
  id: string,
  plan: planVoters.VoterPlanInput,
): Need {
  const follower = findFollower(id, plan);
  if (follower === undefined || !isResponsive(follower)) {
    const silentMs = follower?.silentMs ?? Number.POSITIVE_INFINITY;
    return { kind: "silentVoter", id, silentMs };
  }
  return { kind: "unadmittedVoter", id, lag: getLag(follower, plan) };
}

/**
 * Lists the boxes that can take the places of missing voters: those that hold
 * most of the log, then those that hold none of it.
 */
function listStandIns(
  places: number,
  plan: planVoters.VoterPlanInput,
): readonly Need[] {
  const { voters, candidates, followers } = plan;
  const outside = candidates.filter((id) => !voters.includes(id));
  const learners = followers.filter(({ id }) => outside.includes(id))
    .toSorted((a, b) => b.matchIndex - a.matchIndex);
  const spares = outside.filter((id) => findFollower(id, plan) === undefined);
  const standIns: readonly Need[] = [
    ...learners.map((follower) => describeLearner(follower, plan)),
    ...spares.map((id): Need => ({ kind: "spare", id })),
  ];
  if (standIns.length >= places) return standIns.slice(0, Math.max(0, places));
  return [...standIns, { kind: "noBox" }];
}

function describeLearner(
  follower: consensus.FollowerStatus,
  plan: planVoters.VoterPlanInput,
): Need {
  const { id, silentMs } = follower;
  return { kind: "learner", id, lag: getLag(follower, plan), silentMs };
}

function findFollower(
  id: string,
  { followers }: planVoters.VoterPlanInput,
): consensus.FollowerStatus | undefined {
  return followers.find((item) => item.id === id);
}

/** Reports whether a follower answered as lately as a present voter must. */
function isResponsive({ silentMs }: consensus.FollowerStatus): boolean {
  return silentMs < consensus.PRESENCE_TIMEOUT_MS;
}

/** Returns the number of committed entries that a follower lacks. */
function getLag(
  { matchIndex }: consensus.FollowerStatus,
  { commitIndex }: planVoters.VoterPlanInput,
): number {
  return Math.max(0, commitIndex - matchIndex);
}
