import * as consensus from "../consensus/mod.ts";

/**
 * Silence after which a voter is suspected to have failed and a learner is
 * added for it, in ms. A new leader removes no voter for its silence before.
 */
const SUSPECT_MS = 800;

/** Silence up to which a box is preferred as a learner, in ms. */
const MAX_LEARNER_SILENCE_MS = 1_500;

/** What the leader plans the voters and learners from. */
export interface VoterPlanInput {
  /** Id of the leader. */
  readonly self: string;
  readonly voters: readonly string[];
  /** Number of voters to aim for. */
  readonly wanted: number;
  /** Number of voters needed to bear the configured losses. */
  readonly minVoters: number;
  /** Number of learners to keep up to date while all voters count. */
  readonly standbys: number;
  readonly commitIndex: number;
  /** Time since the leader was elected in its term, in ms. */
  readonly leadershipMs: number;
  readonly followers: readonly consensus.FollowerStatus[];
  /** Ids of boxes that can be voters: alive, with a disk, not being retired. */
  readonly candidates: readonly string[];
  /** Failure domain of each known box, by id. */
  readonly failureDomains: ReadonlyMap<string, string>;
  /** Ids of boxes that are being retired. */
  readonly retiring: readonly string[];
  /** Silence after which a voter counts as failed, in ms. */
  readonly failureTimeoutMs: number;
}

/**
 * Computes the number of voters to aim for: the largest odd number that the
 * boxes allow, as one more voter would add no tolerance of losses.
 *
 * @param minVoters Voters needed to bear the configured losses; kept to even if
 * there are fewer boxes.
 * @param maxVoters Largest number of voters.
 * @param candidates Number of boxes that can be voters.
 * @returns The number of voters.
 */
export function countTargetVoters(
  minVoters: number,
  maxVoters: number,
  candidates: number,
): number {
  const available = Math.min(maxVoters, candidates);
  const odd = available % 2 === 0 ? available - 1 : available;
  return Math.max(minVoters, odd);
}

/**
 * Plans the next change of the voters. Those that are certain to count in no
 * quorum, as after a lost disk, are replaced in one step; else one voter is added
 * or removed. A voter that is only silent may return with its disk, and is removed
 * after its replacement is added.
 *
 * @param input What the leader knows.
 * @returns The voters after the change, or undefined if none is due. A leader
 * that is being retired plans no change, since it transfers leadership first.
 */
export function planVoters(
  input: VoterPlanInput,
): readonly string[] | undefined {
  if (input.retiring.includes(input.self)) return undefined;
  const replaced = planReplacement(input);
  if (replaced !== undefined) return replaced;
  const { voters, wanted } = input;
  const others = voters.filter((id) => id !== input.self);
  const replaceable = others.find((id) => hasFailed(id, input)) ??
    others.find((id) => input.retiring.includes(id));
  if (voters.length > wanted) {
    const surplus = others.find((id) => isUnadmitted(id, input)) ??
      replaceable ?? findSurplus(input, others);
    return surplus === undefined ? undefined : removeVoter(voters, surplus);
  }
  const needsVoter = voters.length < wanted || replaceable !== undefined;
  const [promotable] = listPromotable(input);
  if (needsVoter && promotable !== undefined) return [...voters, promotable];
  return undefined;
}

/**
 * Replaces voters that count in no quorum by learners, and removes those that
 * nobody replaces if enough voters stay.
 */
function planReplacement(
  input: VoterPlanInput,
): readonly string[] | undefined {
  const { voters, wanted, minVoters } = input;
  const emptied = voters.filter((id) =>
    findFollower(id, input)?.isReplaceable === true
  );
  const able = voters.filter((id) => !emptied.includes(id));
  const added = listPromotable(input).slice(
    0,
    Math.max(0, wanted - able.length),
  );
  const keptCount = Math.max(0, minVoters - able.length - added.length);
  const kept = emptied.slice(0, keptCount);
  if (kept.length === emptied.length) return undefined;
  return [...able, ...kept, ...added];
}

/** Finds the voter to remove from an even number of them, all of which count. */
function findSurplus(
  input: VoterPlanInput,
  others: readonly string[],
): string | undefined {
  const isEven = input.voters.length % 2 === 0;
  if (!isEven || input.leadershipMs < SUSPECT_MS) return undefined;
  return findMostSilent(input, others);
}

/**
 * Chooses the learners, which receive the log without voting: one for each voter
 * that is missing or may soon be replaced, and the standbys, which hold the log
 * already when a voter loses its disk. Responsive boxes are preferred, then
 * those in failure domains with few voters, then those with the longest log.
 * There are no others, as catch-ups at the same time delay each other.
 *
 * @param input What the leader knows.
 * @returns Ids of the learners.
 */
export function chooseLearners(
  input: VoterPlanInput,
): readonly string[] {
  const { voters, wanted, standbys, retiring, candidates, self } = input;
  const others = voters.filter((id) => id !== self);
  const replaceable = others.filter((id) =>
    retiring.includes(id) || isUnadmitted(id, input) ||
    hasFailed(id, { ...input, failureTimeoutMs: SUSPECT_MS })
  );
  const missing = Math.max(0, wanted - voters.length);
  const replacements = replaceable.length + (retiring.includes(self) ? 1 : 0);
  const retained = voters.filter((id) => !replaceable.includes(id));
  return candidates.filter((id) => !voters.includes(id))
    .map((id) => describeCandidate(id, retained, input))
    .toSorted(compareCandidates)
    .slice(0, missing + replacements + standbys)
    .map((candidate) => candidate.id);
}

/** A box that can be a learner, and what it is ranked by. */
interface LearnerCandidate {
  readonly id: string;
  /** Whether it is known to be unresponsive. */
  readonly isSilent: boolean;
  /** Voters in its failure domain that are to stay. */
  readonly domainVoters: number;
  /** Last log index that it is known to hold. */
  readonly matchIndex: number;
}

/** Collects what a box is ranked by; `retained` holds the voters to stay. */
function describeCandidate(
  id: string,
  retained: readonly string[],
  input: VoterPlanInput,
): LearnerCandidate {
  const { failureDomains } = input;
  const follower = findFollower(id, input);
  const domain = failureDomains.get(id);
  return {
    id,
    isSilent: follower !== undefined &&
      follower.silentMs > MAX_LEARNER_SILENCE_MS,
    domainVoters:
      retained.filter((other) => failureDomains.get(other) === domain)
        .length,
    matchIndex: follower?.matchIndex ?? 0,
  };
}

/** Orders learner candidates, best first. */
function compareCandidates(a: LearnerCandidate, b: LearnerCandidate): number {
  return Number(a.isSilent) - Number(b.isSilent) ||
    a.domainVoters - b.domainVoters ||
    b.matchIndex - a.matchIndex ||
    (a.id < b.id ? -1 : 1);
}

/** Returns a follower's silence, in ms, counted since the election at most. */
function getSilenceMs(
  follower: consensus.FollowerStatus,
  input: VoterPlanInput,
): number {
  return Math.min(follower.silentMs, input.leadershipMs);
}

/** Reports whether a box has been silent for longer than the failure timeout. */
function hasFailed(id: string, input: VoterPlanInput): boolean {
  const follower = findFollower(id, input);
  if (follower === undefined) {
    return input.leadershipMs > input.failureTimeoutMs;
  }
  return getSilenceMs(follower, input) > input.failureTimeoutMs;
}

/**
 * Reports whether a voter answers but counts in no quorum, as after a disk loss.
 * It is replaced before a healthy voter is removed; otherwise the loss of one
 * more disk could cost the group its quorum.
 */
function isUnadmitted(id: string, input: VoterPlanInput): boolean {
  const follower = findFollower(id, input);
  return follower !== undefined && Number.isFinite(follower.silentMs) &&
    !follower.isAdmitted;
}

/**
 * Lists the learners that can become voters. They may lack a few entries: under
 * load a learner with a slow disk never holds every committed entry, and would
 * never replace a failed voter.
 */
function listPromotable(input: VoterPlanInput): readonly string[] {
  const { candidates, voters, commitIndex } = input;
  return candidates.filter((id) => {
    if (voters.includes(id)) return false;
    const follower = findFollower(id, input);
    return follower !== undefined && follower.isAdmitted &&
      commitIndex - follower.matchIndex <=
        consensus.MAX_CAUGHT_UP_LAG_ENTRIES &&
      !hasFailed(id, input);
  });
}

function findFollower(
  id: string,
  { followers }: VoterPlanInput,
): consensus.FollowerStatus | undefined {
  return followers.find((item) => item.id === id);
}

/** Finds the voter among `others` with the longest silence. */
function findMostSilent(
  input: VoterPlanInput,
  others: readonly string[],
): string | undefined {
  return input.followers.filter((item) => others.includes(item.id))
    .toSorted((a, b) => b.silentMs - a.silentMs)[0]?.id;
}

function removeVoter(
  voters: readonly string[],
  removed: string,
): readonly string[] {
  return voters.filter((id) => id !== removed);
}
