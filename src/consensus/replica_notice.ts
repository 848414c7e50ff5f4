import type * as messages from "./message.ts";
import type * as replicaStates from "./replica_state.ts";

/** A voter and how long it has not answered, in ms. */
export interface SilentVoter {
  readonly id: string;
  readonly silentMs: number;
  /** Entries that it lacks. */
  readonly lag: number;
  readonly isAdmitted: boolean;
}

/** What a replica does or learns that explains its group afterwards. */
export type ReplicaNotice =
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
  | {
    readonly kind: "voters";
    readonly voters: readonly string[];
    readonly term: number;
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
export type TakeNotice = (notice: ReplicaNotice) => void;
