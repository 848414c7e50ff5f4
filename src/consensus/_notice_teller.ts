import type * as notices from "./replica_notice.ts";
import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";

/** Tells what changed about a replica since it was looked at last. */
export class NoticeTeller {
  readonly #tell: notices.TakeNotice;
  #role = "";
  #voters = "";
  #hadAuthority = false;

  /** @param tell Takes the notices; none are told unless given. */
  constructor(tell: notices.TakeNotice = () => {}) {
    this.#tell = tell;
  }

  /** Tells of a vote that was refused to this replica. */
  tellRefusal(event: replicaStates.ReplicaEvent): void {
    if (event.kind !== "message" || event.message.kind !== "voteReply") return;
    const { refusal: reason, term } = event.message;
    if (reason === undefined) return;
    this.#tell({ kind: "voteRefused", by: event.from, term, reason });
  }

  /** Looks at the replica; tells each change once. */
  observe(
    state: replicaStates.ReplicaState,
    hasAuthority: boolean,
    nowMs: number,
  ): void {
    this.#observeRole(state);
    this.#observeVoters(state);
    this.#observeAuthority(state, hasAuthority, nowMs);
  }

  #observeRole(state: replicaStates.ReplicaState): void {
    const { term, role } = state;
    const leader = replicaStatuses.getLeader(state);
    const shown = `${role.kind} ${term} ${leader}`;
    if (shown === this.#role) return;
    this.#role = shown;
    this.#tell({ kind: "role", role: role.kind, term, leader });
  }

  #observeVoters(state: replicaStates.ReplicaState): void {
    const voters = replicaStates.listVoters(state);
    const shown = voters.join(",");
    if (shown === this.#voters) return;
    this.#voters = shown;
    this.#tell({ kind: "voters", voters, term: state.term });
  }

  #observeAuthority(
    state: replicaStates.ReplicaState,
    hasAuthority: boolean,
    nowMs: number,
  ): void {
    if (hasAuthority === this.#hadAuthority) return;
    this.#hadAuthority = hasAuthority;
    const voters = replicaStates.listVoters(state);
    const { followers, lastIndex } = replicaStatuses.describeReplica(
      state,
      nowMs,
    );
    const silent = followers.filter(({ id }) => voters.includes(id))
      .toSorted((a, b) => b.silentMs - a.silentMs)
      .map(({ id, silentMs, isAdmitted, matchIndex }) => ({
        id,
        silentMs,
        isAdmitted,
        lag: lastIndex - matchIndex,
      }));
    const { term } = state;
    this.#tell({ kind: "authority", hasAuthority, term, lastIndex, silent });
  }
}
