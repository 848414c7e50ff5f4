import * as consensus from "../consensus/mod.ts";

/** Silence of a voter after which a spare is fed to replace it, in ms. */
const DOUBT_MS = 800;

/** Silence of a spare up to which it is worth feeding, in ms. */
const RESPONSIVE_MS = 1_500;

/** What a leader weighs when it plans its voters. */
export interface VoterSituation {
  /** Id of the leader. */
  readonly self: string;
  readonly voters: readonly string[];
  /** How many voters there should be. */
  readonly wanted: number;
  readonly commitIndex: number;
  /** How long the leader has led in its term, in ms. */
  readonly reignMs: number;
  readonly followers: readonly consensus.FollowerStatus[];
  /** Boxes that could vote: heard lately, with a disk, not to be emptied. */
  readonly candidates: readonly string[];
  /** Failure domain of each known box, by id. */
  readonly failureDomains: ReadonlyMap<string, string>;
  /** Boxes that are to be emptied. */
  readonly retiring: readonly string[];
  /** Silence after which a voter is replaced, in ms. */
  readonly deadMs: number;
}

/**
 * Says how many voters there should be: an odd number, so that one half of the
 * boxes alone never has a quorum, and never fewer than losses need.
 *
 * @param least Voters that losses need.
 * @param most Voters at most.
 * @param boxes Boxes that could vote.
 * @returns The number of voters.
 */
export function countWanted(
  least: number,
  most: number,
  boxes: number,
): number {
  const few = Math.min(most, boxes);
  const odd = few % 2 === 0 ? few - 1 : few;
  return Math.max(least, odd);
}

/**
 * Plans the next single change of the voters.
 *
 * @param situation What the leader knows.
 * @returns The voters after the change, or undefined when none is due; a
 * leader that is to be emptied plans nothing and hands over instead.
 */
export function planVoters(
  situation: VoterSituation,
): readonly string[] | undefined {
  const { voters, wanted, retiring, self, reignMs } = situation;
  if (retiring.includes(self) || reignMs < DOUBT_MS) return undefined;
  const others = voters.filter((id) => id !== self);
  const dead = others.filter((id) => isDead(id, situation));
  const leaving = others.filter((id) => retiring.includes(id));
  const emptied = others.filter((id) => isEmptied(id, situation));
  const unwanted = [...dead, ...leaving, ...emptied];
  const fresh = findFresh(situation);
  if (voters.length > wanted) {
    const isEven = voters.length % 2 === 0;
    const extra = unwanted[0] ??
      (isEven ? findQuietest(situation, others) : undefined);
    return extra === undefined ? undefined : dropVoter(voters, extra);
  }
  const isShort = voters.length < wanted || unwanted.length > 0;
  if (isShort && fresh !== undefined) return [...voters, fresh];
  return undefined;
}

/**
 * Chooses the boxes to feed beside the voters: one for each voter that may soon
 * be replaced. Spares that answer come first, then those in failure domains
 * with few voters, then those that hold most. A spare that nobody needs is not
 * fed: each copy has its price, and many at once would make all of them late.
 *
 * @param situation What the leader knows.
 * @returns Their ids.
 */
export function chooseLearners(
  situation: VoterSituation,
): readonly string[] {
  const { voters, wanted, retiring, candidates, self } = situation;
  const others = voters.filter((id) => id !== self);
  const doubtful = others.filter((id) =>
    retiring.includes(id) || isEmptied(id, situation) ||
    isDead(id, { ...situation, deadMs: DOUBT_MS })
  );
  const missing = Math.max(0, wanted - voters.length);
  const leaving = doubtful.length + (retiring.includes(self) ? 1 : 0);
  const lasting = voters.filter((id) => !doubtful.includes(id));
  return candidates.filter((id) => !voters.includes(id))
    .map((id) => describeSpare(id, lasting, situation))
    .toSorted(compareSpares)
    .slice(0, missing + leaving)
    .map((spare) => spare.id);
}

/** What speaks for feeding a spare. */
interface Spare {
  readonly id: string;
  /** Whether it is known not to answer. */
  readonly isSilent: boolean;
  /** Voters in its failure domain that are not in doubt. */
  readonly neighbours: number;
  readonly matchIndex: number;
}

function describeSpare(
  id: string,
  lasting: readonly string[],
  { followers, failureDomains }: VoterSituation,
): Spare {
  const follower = followers.find((item) => item.id === id);
  const domain = failureDomains.get(id);
  return {
    id,
    isSilent: follower !== undefined && follower.silentMs > RESPONSIVE_MS,
    neighbours: lasting.filter((other) => failureDomains.get(other) === domain)
      .length,
    matchIndex: follower?.matchIndex ?? 0,
  };
}

function compareSpares(a: Spare, b: Spare): number {
  return Number(a.isSilent) - Number(b.isSilent) ||
    a.neighbours - b.neighbours ||
    b.matchIndex - a.matchIndex ||
    (a.id < b.id ? -1 : 1);
}

/** How long a follower is silent; a leader hears nothing before it leads. */
function getSilenceMs(
  follower: consensus.FollowerStatus,
  situation: VoterSituation,
): number {
  return Math.min(follower.silentMs, situation.reignMs);
}

function isDead(id: string, situation: VoterSituation): boolean {
  const follower = situation.followers.find((item) => item.id === id);
  if (follower === undefined) return situation.reignMs > situation.deadMs;
  return getSilenceMs(follower, situation) > situation.deadMs;
}

/**
 * A voter that answers but counts in no quorum: it lost its disk. Taken for a
 * whole one, it stayed in the set in the place of a whole one that was silent for
 * 20 ms longer; one disk more then left one voter of three that counts.
 */
function isEmptied(id: string, situation: VoterSituation): boolean {
  const follower = situation.followers.find((item) => item.id === id);
  return follower !== undefined && Number.isFinite(follower.silentMs) &&
    !follower.isAdmitted;
}

/**
 * A candidate that counts and lacks only what is under way. One that had to hold
 * all at the moment of a look never became a voter while its disk was slower than
 * the others' and commands came (50 a second, 20 ms a sync against 1 ms: in none of
 * 28 s), and a voter that was gone for good stayed.
 */
function findFresh(situation: VoterSituation): string | undefined {
  const { candidates, voters, followers, commitIndex } = situation;
  return candidates.find((id) => {
    if (voters.includes(id)) return false;
    const follower = followers.find((item) => item.id === id);
    return follower !== undefined && follower.isAdmitted &&
      commitIndex - follower.matchIndex <=
        consensus.MAX_CAUGHT_UP_LAG_ENTRIES &&
      !isDead(id, situation);
  });
}

function findQuietest(
  situation: VoterSituation,
  others: readonly string[],
): string | undefined {
  return situation.followers.filter((item) => others.includes(item.id))
    .toSorted((a, b) => b.silentMs - a.silentMs)[0]?.id;
}

function dropVoter(
  voters: readonly string[],
  removed: string,
): readonly string[] {
  return voters.filter((id) => id !== removed);
}
