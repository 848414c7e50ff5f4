import type * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";

/**
 * Share of the election timeout between the tries of a former leader that was
 * restarted. Its voters need not wait: after a restart of all, it leads again
 * within some 150 ms instead of 450 to 900.
 */
export const EARLY_ELECTION_FRACTION = 0.25;

/** Command of the entry that each leader begins its term with. */
export interface NoOperation {
  readonly kind: "noOperation";
  /** Id of the leader; entries that others proposed name none. */
  readonly leader?: string;
}

/**
 * Finds who led in the term of a replica.
 *
 * @param log The replica's log.
 * @param term The replica's term.
 * @returns The leader's id; undefined where the log does not tell.
 */
export function findLeader(
  log: replicaLogs.ReplicaLog,
  term: number,
): string | undefined {
  for (const entry of log.entries.toReversed()) {
    if (entry.term !== term) return undefined;
    const { kind, leader } = entry.command as Partial<NoOperation>;
    if (kind === "noOperation" && leader !== undefined) return leader;
  }
  return undefined;
}

/** Whether this replica led when it was stopped, just before. */
export function canStartEarlyElection(
  state: replicaStates.ReplicaState,
  nowMs: number,
): boolean {
  const { formerLeader: former, config, term } = state;
  return former?.id === config.id && former.term === term &&
    nowMs < former.earlyElectionUntilMs;
}

/**
 * Tells whether a candidate is the leader that this replica follows, or followed
 * when it stopped. Votes are refused while that leader may still have authority;
 * one that asks for votes has none.
 */
export function isKnownLeader(
  state: replicaStates.ReplicaState,
  candidate: string,
): boolean {
  const { role, formerLeader: former, term } = state;
  if (role.kind === "follower" && role.leader !== undefined) {
    return role.leader === candidate;
  }
  return former?.id === candidate && former.term === term;
}
