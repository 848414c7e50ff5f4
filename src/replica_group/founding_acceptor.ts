/** Number of an attempt to found a group; attempts are ordered. */
export interface Ballot {
  readonly round: number;
  /** Id of the box that proposes; orders ballots of the same round. */
  readonly proposer: string;
}

/** What the founding of a group decides. */
export interface Founding {
  /** Id of the group; undefined if it was founded without other seeds. */
  readonly groupId?: string;
  readonly voters: readonly string[];
}

/** A founding that a seed has accepted. */
export interface AcceptedFounding {
  readonly ballot: Ballot;
  readonly founding: Founding;
}

/** Reply to a request to prepare a ballot. */
export type PrepareReply =
  | {
    readonly kind: "promised";
    /** Founding accepted in an earlier ballot, if any. */
    readonly accepted?: AcceptedFounding;
  }
  /** A higher ballot was promised. */
  | { readonly kind: "outdated"; readonly promised: Ballot }
  /** This box has been started before and may have forgotten a promise. */
  | { readonly kind: "refused" };

/** Reply to a request to accept the founding of a ballot. */
export type AcceptReply =
  | { readonly kind: "accepted" }
  | { readonly kind: "outdated"; readonly promised: Ballot }
  | { readonly kind: "refused" };

/** Compares ballots; negative if the first is the lower one. */
export function compareBallots(left: Ballot, right: Ballot): number {
  if (left.round !== right.round) return left.round - right.round;
  if (left.proposer === right.proposer) return 0;
  return left.proposer < right.proposer ? -1 : 1;
}

/**
 * One seed's part in the agreement on the first voters of a group: the acceptor of
 * single-decree Paxos. It keeps its state in memory, so a restarted process must not
 * take part again.
 */
export class FoundingAcceptor {
  #promised: Ballot | undefined;
  #accepted: AcceptedFounding | undefined;

  /** Promises to accept no lower ballot, and tells what was accepted. */
  prepare(ballot: Ballot): PrepareReply {
    if (this.#promised !== undefined && this.#isPromisedAbove(ballot)) {
      return { kind: "outdated", promised: this.#promised };
    }
    this.#promised = ballot;
    return this.#accepted === undefined
      ? { kind: "promised" }
      : { kind: "promised", accepted: this.#accepted };
  }

  /** Accepts the founding of a ballot unless a higher one was promised. */
  accept(ballot: Ballot, founding: Founding): AcceptReply {
    if (this.#promised !== undefined && this.#isPromisedAbove(ballot)) {
      return { kind: "outdated", promised: this.#promised };
    }
    this.#promised = ballot;
    this.#accepted = { ballot, founding };
    return { kind: "accepted" };
  }

  #isPromisedAbove(ballot: Ballot): boolean {
    return this.#promised !== undefined &&
      compareBallots(this.#promised, ballot) > 0;
  }
}
