import type * as proposalTables from "./_proposals.ts";
import type * as stateMachines from "./state_machine.ts";
import type * as messages from "./message.ts";
import type * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";

/**
 * Applies committed entries to a state machine and tracks the last applied
 * index.
 */
export class LogApplier {
  readonly #machine: stateMachines.StateMachine;
  readonly #proposals: proposalTables.ProposalTable;
  #appliedIndex: number;
  #appliedTerm: number;

  /** @param log The log whose snapshot the state machine was restored from. */
  constructor(
    machine: stateMachines.StateMachine,
    proposals: proposalTables.ProposalTable,
    log: replicaLogs.ReplicaLog,
  ) {
    this.#machine = machine;
    this.#proposals = proposals;
    this.#appliedIndex = log.snapshotIndex;
    this.#appliedTerm = log.snapshotTerm;
  }

  /** Returns the index of the last applied entry. */
  getAppliedIndex(): number {
    return this.#appliedIndex;
  }

  /**
   * Applies a committed entry and settles its proposal with the result. Entries
   * that are already applied are skipped.
   */
  apply(entry: replicaLogs.Entry): void {
    if (entry.index <= this.#appliedIndex) return;
    const answer = this.#machine.apply(entry.command);
    this.#appliedIndex = entry.index;
    this.#appliedTerm = entry.term;
    this.#proposals.settle(entry, answer);
  }

  /**
   * Restores a snapshot, unless the state machine is already as far; proposals
   * that it covers fail with an unknown outcome.
   */
  restore(snapshot: messages.Snapshot): void {
    if (snapshot.index <= this.#appliedIndex) return;
    this.#machine.restore(snapshot.state);
    this.#appliedIndex = snapshot.index;
    this.#appliedTerm = snapshot.term;
    this.#proposals.dropUpTo(snapshot.index);
  }

  /** Creates a snapshot of the current state. */
  createSnapshot(log: replicaLogs.ReplicaLog): messages.Snapshot {
    const state = this.#machine.save();
    const set = replicaSets.findReplicaSet(log, this.#appliedIndex);
    return {
      index: this.#appliedIndex,
      term: this.#appliedTerm,
      state,
      voters: set?.voters,
    };
  }
}
