import type * as messages from "./message.ts";
import type * as replicaStatuses from "./replica_status.ts";
import type * as replicaStates from "./replica_state.ts";

/** A voter and how long it has not answered, in ms. */
export interface SilentVoter {
  readonly id: string;
  readonly silentMs: number;
  /** Entries that it lacks. */
  readonly lag: number;
  readonly isAdmitted: boolean;
}

/** A follower that does not count in a quorum, as its leader sees it. */
export type UnadmittedFollower =
  /** It has not answered since this leader began to feed it. */
  | {
    readonly kind: "unheard";
    readonly id: string;
    readonly isVoter: boolean;
    readonly sinceMs: number;
  }
  | {
    readonly kind: "fed";
    readonly id: string;
    readonly isVoter: boolean;
    readonly incarnation: number;
    /** Entries that it lacks. */
    readonly lag: number;
    /** Entries that it confirmed since the last notice. */
    readonly confirmed: number;
    readonly silentMs: number;
    /** Time since this leader knew that it did not count, in ms. */
    readonly fedMs: number;
  };

/** What a voter answered last to a replica that asked for its vote. */
export type VoteAnswer =
  | { readonly kind: "none" }
  | {
    readonly kind: "granted";
    readonly isPreVote: boolean;
    readonly ageMs: number;
  }
  | {
    readonly kind: "refused";
    readonly isPreVote: boolean;
    /** Undefined where the voter gave none. */
    readonly reason: messages.VoteRefusal | undefined;
    readonly ageMs: number;
  };

/** A voter and its last answer. */
export interface PolledVoter {
  readonly id: string;
  readonly answer: VoteAnswer;
}

/** What a replica does or learns that explains its group afterwards. */
export type ReplicaNotice =
  /** What the disk held when the replica was opened. */
  | {
    readonly kind: "opened";
    readonly id: string;
    readonly identity: messages.ReplicaIdentity;
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly set: replicaStatuses.VoterSet;
    /** Last entry of the snapshot; all up to it is committed. */
    readonly snapshotIndex: number;
    readonly lastIndex: number;
    readonly lastTerm: number;
    /** Bytes of a torn write that were cut off. */
    readonly tornBytes: number;
  }
  /** This replica counts in a quorum from now on. */
  | {
    readonly kind: "admitted";
    readonly incarnation: number;
    readonly term: number;
    /** Last entry known to be committed. */
    readonly index: number;
    /** Time since the replica was opened, in ms. */
    readonly openedMs: number;
  }
  /** This leader learned that a follower which it fed counts. */
  | {
    readonly kind: "followerAdmitted";
    readonly id: string;
    readonly incarnation: number;
    readonly term: number;
    /** Last entry that the follower is known to hold. */
    readonly index: number;
    /** Time since this leader knew that it did not count, in ms. */
    readonly fedMs: number;
  }
  | {
    readonly kind: "role";
    readonly role: replicaStates.Role["kind"];
    readonly term: number;
    readonly leader: string | undefined;
  }
  | {
    readonly kind: "authority";
    readonly hasAuthority: boolean;
    readonly term: number;
    readonly lastIndex: number;
    /** Voters, the most silent ones first; they explain a loss. */
    readonly silent: readonly SilentVoter[];
  }
  /** Another set holds at this replica, or it learned that its set is agreed. */
  | {
    readonly kind: "voters";
    readonly set: replicaStatuses.VoterSet;
    readonly term: number;
  }
  /** Told at intervals while a leader has followers that do not count. */
  | {
    readonly kind: "feeding";
    readonly term: number;
    readonly lastIndex: number;
    readonly followers: readonly UnadmittedFollower[];
  }
  /** Told at intervals while a replica knows no leader that may act. */
  | {
    readonly kind: "leaderless";
    readonly role: replicaStates.Role["kind"];
    readonly term: number;
    /** Time since a leader was known, in ms. */
    readonly sinceMs: number;
    readonly isAdmitted: boolean;
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly commitIndex: number;
    readonly set: replicaStatuses.VoterSet;
    readonly asked: readonly PolledVoter[];
    /** How long the write under way has lasted, in ms; 0 for none. */
    readonly writingMs: number;
  }
  | {
    readonly kind: "voteRefused";
    readonly by: string;
    readonly term: number;
    readonly reason: messages.VoteRefusal;
  }
  | {
    readonly kind: "snapshotSent";
    readonly to: string;
    readonly index: number;
    readonly parts: number;
    /** Time for the state to be gathered, in ms. */
    readonly tookMs: number;
  }
  | {
    readonly kind: "snapshotTaken";
    readonly index: number;
    readonly parts: number;
    /** Time for it to be written and read in, in ms. */
    readonly tookMs: number;
  };

/** Takes notices; it must not wait. */
export type NoticeHandler = (notice: ReplicaNotice) => void;
