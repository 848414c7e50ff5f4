import type * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";

/**
 * Share of the election timeout after which a restarted leader starts an election.
 * Voters that followed it grant their votes at once, so it need not wait longer.
 */
export const EARLY_ELECTION_FRACTION = 0.25;

/** Command of the first entry of each leader's term. */
export interface NoOperation {
  readonly kind: "noOperation";
  /**
   * Id of the leader; undefined in no-operations that were proposed by callers.
   */
  readonly leader?: string;
}

/**
 * Finds the leader of a term by the no-operation at its start.
 *
 * @param log The replica's log.
 * @param term The replica's term.
 * @returns The leader's id; undefined if the log does not name it.
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

/**
 * Tells whether this replica led the current term before it restarted, and is still
 * within the time in which it may start an election early.
 */
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
 * before it restarted. Its vote request need not be refused to protect a leader's
 * authority: a leader that asks for votes has given its own up.
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
