import type * as proposalTables from "./_proposals.ts";
import type * as machines from "./state_machine.ts";
import type * as messages from "./message.ts";
import type * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";

/** A machine, and how far the log has been applied to it. */
export class LogApplier {
  readonly #machine: machines.StateMachine;
  readonly #proposals: proposalTables.ProposalTable;
  #appliedIndex: number;
  #appliedTerm: number;

  /** @param log The log whose snapshot the machine was restored from. */
  constructor(
    machine: machines.StateMachine,
    proposals: proposalTables.ProposalTable,
    log: replicaLogs.ReplicaLog,
  ) {
    this.#machine = machine;
    this.#proposals = proposals;
    this.#appliedIndex = log.snapshotIndex;
    this.#appliedTerm = log.snapshotTerm;
  }

  /** Index of the last entry that the machine holds. */
  getAppliedIndex(): number {
    return this.#appliedIndex;
  }

  /** Applies a committed entry, and answers who proposed it. */
  apply(entry: replicaLogs.Entry): void {
    if (entry.index <= this.#appliedIndex) return;
    const answer = this.#machine.apply(entry.command);
    this.#appliedIndex = entry.index;
    this.#appliedTerm = entry.term;
    this.#proposals.settle(entry, answer);
  }

  /** Takes a snapshot that is ahead of the machine. */
  restore(snapshot: messages.Snapshot): void {
    if (snapshot.index <= this.#appliedIndex) return;
    this.#machine.restore(snapshot.state);
    this.#appliedIndex = snapshot.index;
    this.#appliedTerm = snapshot.term;
    this.#proposals.dropUpTo(snapshot.index);
  }

  /** Makes a snapshot of what the machine holds now. */
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
