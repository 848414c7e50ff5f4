import type * as consensus from "../consensus/mod.ts";

/** The answer of a replica that does not lead. */
export interface NotLeader {
  readonly kind: "notLeader";
  /** Id of the leader, as far as the replica knows. */
  readonly leader: string | undefined;
  /** Why the replica does not lead; boxes of earlier versions tell none. */
  readonly reason?: NotLeaderReason;
}

/** Why a replica does not take what only the leader takes. */
export type NotLeaderReason =
  /** Its data folder is not open yet. */
  | { readonly kind: "notStarted" }
  /** It lost the lead while the change was under way. */
  | { readonly kind: "lostLead" }
  | {
    readonly kind: "follows";
    readonly term: number;
    /** Time since it heard the leader, in ms. */
    readonly heardMs: number;
  }
  /** It leads by role, and is not sure that no other does. */
  | {
    readonly kind: "unsureLead";
    readonly term: number;
    /** Time since it was sure, in ms. */
    readonly sinceMs: number;
    /** Voters that answer and count, this one among them. */
    readonly presentVoters: number;
    readonly quorum: number;
    readonly writingMs: number;
  }
  | {
    readonly kind: "leaderless";
    readonly role: consensus.ReplicaHealth["role"];
    readonly term: number;
    /** Time since it knew a leader, in ms. */
    readonly sinceMs: number;
    readonly lastIndex: number;
    readonly isAdmitted: boolean;
    /** Whether it is among the voters that its log names. */
    readonly isInSet: boolean;
    /** How many voters its log names. */
    readonly voters: number;
    /** How long its write under way has lasted, in ms; 0 for none. */
    readonly writingMs: number;
  };

/**
 * Explains why a replica does not take what only the leader takes.
 *
 * @param health What the replica knows; undefined before it is opened.
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
 * Describes the answer of a replica that does not lead, for the log.
 *
 * @param answer The answer.
 * @returns A short text without blanks.
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
