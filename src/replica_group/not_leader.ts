import type * as consensus from "../consensus/mod.ts";

/** Answer of a replica that is not the leader. */
export interface NotLeader {
  readonly kind: "notLeader";
  /** Id of the leader that the replica knows, if any. */
  readonly leader: string | undefined;
  /** Why it is not the leader; boxes of earlier versions omit it. */
  readonly reason?: NotLeaderReason;
}

/** Why a replica cannot serve calls that only the leader serves. */
export type NotLeaderReason =
  /** Its data folder is not open yet. */
  | { readonly kind: "notStarted" }
  /** It lost its leadership while the change was being replicated. */
  | { readonly kind: "lostLead" }
  | {
    /** It follows another replica. */
    readonly kind: "follows";
    readonly term: number;
    /** Time since it last heard from the leader, in ms. */
    readonly heardMs: number;
  }
  /** It is the leader of its term, but holds no lease. */
  | {
    readonly kind: "unsureLead";
    readonly term: number;
    /** Time since it last knew a leader with a lease, in ms. */
    readonly sinceMs: number;
    /** Responsive voters that count in a quorum, including this replica. */
    readonly presentVoters: number;
    /** Number of voters that make a quorum. */
    readonly quorum: number;
    /** Duration of its write in progress, in ms; 0 for none. */
    readonly writingMs: number;
  }
  | {
    /** It knows no leader. */
    readonly kind: "leaderless";
    readonly role: consensus.ReplicaHealth["role"];
    readonly term: number;
    /** Time since it last knew a leader, in ms. */
    readonly sinceMs: number;
    readonly lastIndex: number;
    /** Whether it has caught up and counts in a quorum. */
    readonly isAdmitted: boolean;
    /** Whether it is a voter by the configuration in its log. */
    readonly isInSet: boolean;
    /** Number of voters in that configuration. */
    readonly voters: number;
    /** Duration of its write in progress, in ms; 0 for none. */
    readonly writingMs: number;
  };

/**
 * Explains why a replica cannot serve calls that only the leader serves.
 *
 * @param health State of the replica; undefined before it is opened.
 * @returns The reason.
 */
export function explainNotLeader(
  health: consensus.ReplicaHealth | undefined,
): NotLeaderReason {
  if (health === undefined) return { kind: "notStarted" };
  const { role, leader, term, leaderlessMs, writingMs, followers } = health;
  if (followers !== undefined) {
    const { presentVoters, quorum } = followers;
    return {
      kind: "unsureLead",
      term,
      sinceMs: leaderlessMs,
      presentVoters,
      quorum,
      writingMs,
    };
  }
  if (leader !== undefined) {
    return { kind: "follows", term, heardMs: leaderlessMs };
  }
  return {
    kind: "leaderless",
    role,
    term,
    sinceMs: leaderlessMs,
    lastIndex: health.lastIndex,
    isAdmitted: health.isAdmitted,
    isInSet: health.isInSet,
    voters: health.set.voters.length,
    writingMs,
  };
}

/**
 * Describes the answer of a replica that is not the leader, for the log.
 *
 * @param answer The answer.
 * @returns A short text without spaces.
 */
export function describeNotLeader({ leader, reason }: NotLeader): string {
  if (reason === undefined) return leader ? `follows:${leader}` : "notLeader";
  switch (reason.kind) {
    case "notStarted":
    case "lostLead":
      return reason.kind;
    case "follows":
      return `follows:${leader}:term${reason.term}:heard${reason.heardMs}ms`;
    case "unsureLead": {
      const { term, sinceMs, presentVoters, quorum, writingMs } = reason;
      return `unsureLead:term${term}:since${sinceMs}ms` +
        `:present${presentVoters}of${quorum}${describeWriting(writingMs)}`;
    }
    case "leaderless": {
      const { role, term, sinceMs, lastIndex, voters, writingMs } = reason;
      return `${role}:term${term}:since${sinceMs}ms:last${lastIndex}` +
        `:voters${voters}${reason.isInSet ? "" : ":notInSet"}` +
        `${reason.isAdmitted ? "" : ":notAdmitted"}` +
        describeWriting(writingMs);
    }
  }
}

function describeWriting(writingMs: number): string {
  return writingMs === 0 ? "" : `:writing${writingMs}ms`;
}
