import * as consensus from "../consensus/mod.ts";

/** Silence of a voter after which a spare is fed to replace it, in ms. */
const SUSPECT_MS = 800;

/** Silence of a spare up to which it is worth feeding, in ms. */
const MAX_LEARNER_SILENCE_MS = 1_500;

/** What a leader weighs when it plans its voters. */
export interface VoterPlanInput {
  /** Id of the leader. */
  readonly self: string;
  readonly voters: readonly string[];
  /** How many voters there should be. */
  readonly wanted: number;
  readonly commitIndex: number;
  /** How long the leader has led in its term, in ms. */
  readonly leadershipMs: number;
  readonly followers: readonly consensus.FollowerStatus[];
  /** Boxes that could vote: heard lately, with a disk, not to be emptied. */
  readonly candidates: readonly string[];
  /** Failure domain of each known box, by id. */
  readonly failureDomains: ReadonlyMap<string, string>;
  /** Boxes that are to be emptied. */
  readonly retiring: readonly string[];
  /** Silence after which a voter is replaced, in ms. */
  readonly failureTimeoutMs: number;
}

/**
 * Says how many voters there should be: an odd number, so that one half of the
 * boxes alone never has a quorum, and never fewer than losses need.
 *
 * @param minVoters Voters that losses need.
 * @param maxVoters Voters at most.
 * @param candidates Boxes that could vote.
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
 * Plans the next single change of the voters.
 *
 * @param input What the leader knows.
 * @returns The voters after the change, or undefined when none is due; a
 * leader that is to be emptied plans nothing and hands over instead.
 */
export function planVoters(
  input: VoterPlanInput,
): readonly string[] | undefined {
  const { voters, wanted, retiring, self, leadershipMs: leadershipMs } = input;
  if (retiring.includes(self) || leadershipMs < SUSPECT_MS) return undefined;
  const others = voters.filter((id) => id !== self);
  const failed = others.filter((id) => hasFailed(id, input));
  const retiringVoters = others.filter((id) => retiring.includes(id));
  const unadmitted = others.filter((id) => isUnadmitted(id, input));
  const replaceable = [...failed, ...retiringVoters, ...unadmitted];
  const promotable = findPromotable(input);
  if (voters.length > wanted) {
    const isEven = voters.length % 2 === 0;
    const surplus = replaceable[0] ??
      (isEven ? findMostSilent(input, others) : undefined);
    return surplus === undefined ? undefined : removeVoter(voters, surplus);
  }
  const needsVoter = voters.length < wanted || replaceable.length > 0;
  if (needsVoter && promotable !== undefined) return [...voters, promotable];
  return undefined;
}

/**
 * Chooses the boxes to feed beside the voters: one for each voter that may soon
 * be replaced. Spares that answer come first, then those in failure domains
 * with few voters, then those that hold most. A spare that nobody needs is not
 * fed: each copy has its price, and many at once would make all of them late.
 *
 * @param input What the leader knows.
 * @returns Their ids.
 */
export function chooseLearners(
  input: VoterPlanInput,
): readonly string[] {
  const { voters, wanted, retiring, candidates, self } = input;
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
    .slice(0, missing + replacements)
    .map((candidate) => candidate.id);
}

/** What speaks for feeding a spare. */
interface LearnerCandidate {
  readonly id: string;
  /** Whether it is known not to answer. */
  readonly isSilent: boolean;
  /** Voters in its failure domain that are not in doubt. */
  readonly domainVoters: number;
  readonly matchIndex: number;
}

function describeCandidate(
  id: string,
  retained: readonly string[],
  { followers, failureDomains }: VoterPlanInput,
): LearnerCandidate {
  const follower = followers.find((item) => item.id === id);
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

function compareCandidates(a: LearnerCandidate, b: LearnerCandidate): number {
  return Number(a.isSilent) - Number(b.isSilent) ||
    a.domainVoters - b.domainVoters ||
    b.matchIndex - a.matchIndex ||
    (a.id < b.id ? -1 : 1);
}

/** How long a follower is silent; a leader hears nothing before it leads. */
function getSilenceMs(
  follower: consensus.FollowerStatus,
  input: VoterPlanInput,
): number {
  return Math.min(follower.silentMs, input.leadershipMs);
}

function hasFailed(id: string, input: VoterPlanInput): boolean {
  const follower = input.followers.find((item) => item.id === id);
  if (follower === undefined) {
    return input.leadershipMs > input.failureTimeoutMs;
  }
  return getSilenceMs(follower, input) > input.failureTimeoutMs;
}

/**
 * A voter that answers but counts in no quorum: it lost its disk. Taken for a
 * whole one, it stayed in the set in the place of a whole one that was silent for
 * 20 ms longer; one disk more then left one voter of three that counts.
 */
function isUnadmitted(id: string, input: VoterPlanInput): boolean {
  const follower = input.followers.find((item) => item.id === id);
  return follower !== undefined && Number.isFinite(follower.silentMs) &&
    !follower.isAdmitted;
}

/**
 * A candidate that counts and lacks only what is under way. One that had to hold
 * all at the moment of a look never became a voter while its disk was slower than
 * the others' and commands came (50 a second, 20 ms a sync against 1 ms: in none of
 * 28 s), and a voter that was gone for good stayed.
 */
function findPromotable(input: VoterPlanInput): string | undefined {
  const { candidates, voters, followers, commitIndex } = input;
  return candidates.find((id) => {
    if (voters.includes(id)) return false;
    const follower = followers.find((item) => item.id === id);
    return follower !== undefined && follower.isAdmitted &&
      commitIndex - follower.matchIndex <=
        consensus.MAX_CAUGHT_UP_LAG_ENTRIES &&
      !hasFailed(id, input);
  });
}

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
