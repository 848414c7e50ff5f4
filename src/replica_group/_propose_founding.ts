import * as foundingAcceptors from "./founding_acceptor.ts";
import type * as messages from "./founding_message.ts";

/** Calls to the seeds; each resolves to undefined if the seed does not answer. */
export interface FoundingSeeds {
  /** Ids of all seeds, this box included if it is one. */
  readonly ids: readonly string[];
  prepare(
    seed: string,
    request: messages.PrepareRequest,
  ): Promise<foundingAcceptors.PrepareReply | undefined>;
  accept(
    seed: string,
    request: messages.AcceptRequest,
  ): Promise<foundingAcceptors.AcceptReply | undefined>;
}

/** An attempt to found a group. */
export interface FoundingProposal extends messages.PrepareRequest {
  readonly seeds: FoundingSeeds;
  /** Decides if none was accepted; undefined if it is too early. */
  readonly decide: () => foundingAcceptors.Founding | undefined;
}

/** Outcome of an attempt. */
export type FoundingOutcome =
  /** A majority of the seeds accepted this founding. */
  | {
    readonly kind: "chosen";
    readonly founding: foundingAcceptors.Founding;
  }
  /** No majority has accepted any, and there is none to propose. */
  | { readonly kind: "open" }
  /** No majority answered, or a higher ballot was promised. */
  | {
    readonly kind: "failed";
    /** Highest round that a seed told. */
    readonly highestRound: number;
  };

/**
 * Proposes the founding of a group to its seeds: the proposer of single-decree Paxos.
 * One that a majority may have accepted is proposed again.
 *
 * @param proposal The attempt.
 * @returns The outcome; the promise is never rejected.
 */
export async function proposeFounding(
  proposal: FoundingProposal,
): Promise<FoundingOutcome> {
  const { group, ballot, seeds } = proposal;
  const prepared = await collectReplies(
    seeds.ids.map((seed) => seeds.prepare(seed, { group, ballot })),
    (reply) => reply.kind === "promised",
  );
  if (!prepared.hasMajority) return createFailed(ballot, prepared.replies);
  const founding = findAccepted(prepared.replies) ?? proposal.decide();
  if (founding === undefined) return { kind: "open" };
  const accepted = await collectReplies(
    seeds.ids.map((seed) => seeds.accept(seed, { group, ballot, founding })),
    (reply) => reply.kind === "accepted",
  );
  return accepted.hasMajority
    ? { kind: "chosen", founding }
    : createFailed(ballot, accepted.replies);
}

interface CollectedReplies<T> {
  readonly replies: readonly T[];
  /** Whether a majority of all seeds granted the request. */
  readonly hasMajority: boolean;
}

/** Collects replies until a majority granted the request or all have replied. */
function collectReplies<T>(
  calls: readonly Promise<T | undefined>[],
  isGranted: (reply: T) => boolean,
): Promise<CollectedReplies<T>> {
  const replies: T[] = [];
  let pending = calls.length;
  return new Promise((resolve) => {
    for (const call of calls) {
      void call.then((reply) => {
        pending -= 1;
        if (reply !== undefined) replies.push(reply);
        const granted = replies.filter(isGranted).length;
        const hasMajority = granted > calls.length / 2;
        if (!hasMajority && pending > 0) return;
        resolve({ replies: [...replies], hasMajority });
      });
    }
    if (calls.length === 0) resolve({ replies, hasMajority: false });
  });
}

/** Returns the founding accepted in the highest ballot, if any. */
function findAccepted(
  replies: readonly foundingAcceptors.PrepareReply[],
): foundingAcceptors.Founding | undefined {
  return replies
    .flatMap((reply) =>
      reply.kind === "promised" && reply.accepted !== undefined
        ? [reply.accepted]
        : []
    )
    .toSorted((a, b) => foundingAcceptors.compareBallots(a.ballot, b.ballot))
    .at(-1)?.founding;
}

function createFailed(
  { round }: foundingAcceptors.Ballot,
  replies: readonly (
    | foundingAcceptors.PrepareReply
    | foundingAcceptors.AcceptReply
  )[],
): FoundingOutcome {
  const rounds = replies.flatMap((reply) =>
    reply.kind === "outdated" ? [reply.promised.round] : []
  );
  return { kind: "failed", highestRound: Math.max(round, ...rounds) };
}
