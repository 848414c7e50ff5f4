import type * as messages from "./message.ts";
import type * as replicaLogs from "./replica_log.ts";

/** What does not change while a replica runs. */
export interface ReplicaConfig {
  readonly id: string;
  /** Ids of all voting replicas, this one among them. */
  readonly voters: readonly string[];
  /** Shortest silence after which a replica asks to lead, in ms. */
  readonly electionTimeoutMs: number;
  /** Time between heartbeats, in ms. */
  readonly heartbeatMs: number;
  /** Most entries in one message. */
  readonly maxBatchEntries: number;
  /** Seed of the election delays. */
  readonly seed: number;
}

/** What a leader knows of one other replica. */
export interface Progress {
  readonly nextIndex: number;
  readonly matchIndex: number;
  /** Leader's clock when it sent the last message that was answered, in ms. */
  readonly answeredSentAtMs: number;
  readonly identity: messages.ReplicaIdentity;
}

/** The part that a replica plays. */
export type Role =
  | { readonly kind: "follower"; readonly leader?: string }
  | { readonly kind: "preCandidate"; readonly votes: ReadonlySet<string> }
  | { readonly kind: "candidate"; readonly votes: ReadonlySet<string> }
  | {
    readonly kind: "leader";
    readonly progress: ReadonlyMap<string, Progress>;
    readonly heartbeatAtMs: number;
    /** Index of the first entry of its own term. */
    readonly firstIndex: number;
    readonly sinceMs: number;
  };

/** The whole state of a replica. */
export interface ReplicaState {
  readonly config: ReplicaConfig;
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly role: Role;
  readonly identity: messages.ReplicaIdentity;
  readonly log: replicaLogs.ReplicaLog;
  readonly commitIndex: number;
  /** When to ask to lead unless a leader is heard, in ms. */
  readonly electionAtMs: number;
  /** When a leader was last heard, in ms; a vote is refused soon after. */
  readonly heardAtMs: number;
  /** Election delays drawn so far. */
  readonly draws: number;
}

/** What a replica is told. */
export type ReplicaEvent =
  | { readonly kind: "tick" }
  | { readonly kind: "transfer" }
  | {
    readonly kind: "message";
    readonly from: string;
    readonly message: messages.Message;
  }
  | { readonly kind: "propose"; readonly commands: readonly unknown[] };

/** What a replica asks its driver to do, in order; saves come before sends. */
export type Effect =
  | {
    readonly kind: "saveVote";
    readonly term: number;
    readonly votedFor: string | undefined;
  }
  | {
    readonly kind: "saveIdentity";
    readonly identity: messages.ReplicaIdentity;
  }
  | {
    readonly kind: "saveEntries";
    readonly entries: readonly replicaLogs.Entry[];
  }
  | { readonly kind: "restore"; readonly snapshot: messages.Snapshot }
  | {
    readonly kind: "send";
    readonly to: string;
    readonly message: messages.Message;
  }
  | { readonly kind: "sendSnapshot"; readonly to: string }
  | { readonly kind: "commit"; readonly entries: readonly replicaLogs.Entry[] };

/** A new state and what follows from the change. */
export interface Transition {
  readonly state: ReplicaState;
  readonly effects: readonly Effect[];
}

/**
 * Says how many replicas make a majority.
 *
 * @param config The replica's configuration.
 * @returns The size of a quorum.
 */
export function getQuorum(config: ReplicaConfig): number {
  return Math.floor(config.voters.length / 2) + 1;
}

/**
 * Lists what a leader knows of the followers that count in a quorum.
 *
 * @param role The leader's role.
 * @returns Progress of the admitted followers.
 */
export function listAdmitted(
  role: Extract<Role, { readonly kind: "leader" }>,
): readonly Progress[] {
  return [...role.progress.values()].filter((progress) =>
    progress.identity.isAdmitted
  );
}

/**
 * Lists the other voters.
 *
 * @param config The replica's configuration.
 * @returns Their ids.
 */
export function listOthers(config: ReplicaConfig): readonly string[] {
  return config.voters.filter((voter) => voter !== config.id);
}
