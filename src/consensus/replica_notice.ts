import type * as messages from "./message.ts";
import type * as replicaStatuses from "./replica_status.ts";
import type * as replicaStates from "./replica_state.ts";

/** A voter and the time since it last replied to the leader. */
export interface SilentVoter {
  readonly id: string;
  /** Age of the last acknowledged request, in ms; infinite if there is none. */
  readonly silentMs: number;
  /** Number of log entries that it lacks. */
  readonly lag: number;
  readonly isAdmitted: boolean;
}

/** A follower that doesn't count toward a quorum, as its leader sees it. */
export type UnadmittedFollower =
  /** It has not replied to this leader yet. */
  | {
    readonly kind: "unheard";
    readonly id: string;
    readonly isVoter: boolean;
    /** Time since the leader first sent to it, in ms. */
    readonly sinceMs: number;
  }
  /** It is catching up. */
  | {
    readonly kind: "fed";
    readonly id: string;
    readonly isVoter: boolean;
    readonly incarnation: number;
    /** Number of log entries that it lacks. */
    readonly lag: number;
    /** Entries that it acknowledged since the last notice. */
    readonly confirmed: number;
    /** Age of the last acknowledged request, in ms. */
    readonly silentMs: number;
    /** Time for which it has been catching up with this leader, in ms. */
    readonly fedMs: number;
  };

/** A voter's last reply to a vote request. */
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
    /** Undefined if the voter gave none. */
    readonly reason: messages.VoteRefusal | undefined;
    readonly ageMs: number;
  };

/** A voter and its last reply to a vote request. */
export interface PolledVoter {
  readonly id: string;
  readonly answer: VoteAnswer;
}

/** An event of a replica, reported for the operator's log. */
export type ReplicaNotice =
  /** The replica was opened; the fields describe what its disk held. */
  | {
    readonly kind: "opened";
    readonly id: string;
    readonly identity: messages.ReplicaIdentity;
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly set: replicaStatuses.VoterSet;
    /** Last entry of the snapshot; all entries up to it are committed. */
    readonly snapshotIndex: number;
    readonly lastIndex: number;
    readonly lastTerm: number;
    /** Bytes of a torn write that were truncated. */
    readonly tornBytes: number;
  }
  /** A replica of another group sent a message, which was ignored. */
  | {
    readonly kind: "foreignGroup";
    readonly from: string;
    readonly groupId: string;
    readonly foreignGroupId: string;
  }
  /** This replica has caught up and counts toward a quorum from now on. */
  | {
    readonly kind: "admitted";
    readonly incarnation: number;
    readonly term: number;
    /** Last entry known to be committed. */
    readonly index: number;
    /** Time since the replica was opened, in ms. */
    readonly openedMs: number;
  }
  /** A follower has caught up with this leader and counts toward a quorum. */
  | {
    readonly kind: "followerAdmitted";
    readonly id: string;
    readonly incarnation: number;
    readonly term: number;
    /** Last entry that the follower is known to hold. */
    readonly index: number;
    /** Time for which it was catching up with this leader, in ms. */
    readonly fedMs: number;
  }
  /** The role, the term or the known leader changed. */
  | {
    readonly kind: "role";
    readonly role: replicaStates.Role["kind"];
    readonly term: number;
    readonly leader: string | undefined;
  }
  /** This replica gained or lost the authority to act as leader. */
  | {
    readonly kind: "authority";
    readonly hasAuthority: boolean;
    readonly term: number;
    readonly lastIndex: number;
    /** The other voters by the age of their last reply, oldest first. */
    readonly silent: readonly SilentVoter[];
  }
  /** The voter set of this replica changed, or its commit became known. */
  | {
    readonly kind: "voters";
    readonly set: replicaStatuses.VoterSet;
    readonly term: number;
  }
  /** Reported at intervals while followers of this leader are not admitted. */
  | {
    readonly kind: "feeding";
    readonly term: number;
    readonly lastIndex: number;
    readonly followers: readonly UnadmittedFollower[];
  }
  /** Reported at intervals while the replica knows no active leader. */
  | {
    readonly kind: "leaderless";
    readonly role: replicaStates.Role["kind"];
    readonly term: number;
    /** Time since a leader was last known, in ms. */
    readonly sinceMs: number;
    readonly isAdmitted: boolean;
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly commitIndex: number;
    readonly set: replicaStatuses.VoterSet;
    readonly asked: readonly PolledVoter[];
    /** Duration of the current write so far, in ms; 0 for none. */
    readonly writingMs: number;
  }
  /** A voter refused its vote to this replica. */
  | {
    readonly kind: "voteRefused";
    readonly by: string;
    readonly term: number;
    readonly reason: messages.VoteRefusal;
  }
  /** This leader began to send a snapshot. */
  | {
    readonly kind: "snapshotSent";
    readonly to: string;
    readonly index: number;
    readonly parts: number;
    /** Time to create the snapshot, in ms. */
    readonly tookMs: number;
  }
  /** This replica stored a snapshot received from the leader. */
  | {
    readonly kind: "snapshotTaken";
    readonly index: number;
    readonly parts: number;
    /** Time to write the snapshot to disk, in ms. */
    readonly tookMs: number;
  };

/** Handles notices; must not block. */
export type NoticeHandler = (notice: ReplicaNotice) => void;
