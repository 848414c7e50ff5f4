import * as csp from "../csp/mod.ts";
import type * as appliedMachines from "./_applied_machine.ts";
import type * as durableWriters from "./_durable_writer.ts";
import * as logBudgets from "./_log_budget.ts";
import type * as messages from "./message.ts";
import type * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";
import * as savedRecords from "./_saved_record.ts";
import * as snapshotDrafts from "./_snapshot_drafts.ts";

/** What a log cutter needs. */
export interface LogCutterOptions {
  readonly writer: durableWriters.DurableWriter;
  /** Entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /** Last index of the snapshot that the disk holds; 0 for none. */
  readonly snapshotIndex: number;
  /** Told of a failed write, but for a full disk. */
  readonly onFatal: (error: unknown) => void;
}

/** Keeps a replica's log short: writes snapshots beside it and cuts it by them. */
export class LogCutter {
  readonly #writer: durableWriters.DurableWriter;
  readonly #drafts: snapshotDrafts.SnapshotDrafts;
  readonly #budget: logBudgets.LogBudget;
  #snapshotIndex: number;

  constructor(options: LogCutterOptions) {
    const { writer, snapshotEntries, snapshotIndex, onFatal } = options;
    this.#writer = writer;
    this.#drafts = new snapshotDrafts.SnapshotDrafts(writer, onFatal);
    this.#budget = new logBudgets.LogBudget(snapshotEntries);
    this.#snapshotIndex = snapshotIndex;
  }

  /** Notes entries that were applied. */
  add(entries: readonly replicaLogs.Entry[]): void {
    this.#budget.add(entries);
  }

  /** Writes a snapshot beside the log once enough was applied. */
  startDraft(
    applied: appliedMachines.AppliedMachine,
    log: replicaLogs.ReplicaLog,
  ): void {
    const count = applied.getIndex() - this.#snapshotIndex;
    if (this.#drafts.isBusy() || !this.#budget.claimSnapshot(count)) return;
    this.#drafts.start(applied.createSnapshot(log));
  }

  /**
   * Shortens the log by a snapshot that is now written, if there is one.
   *
   * @param state The replica.
   * @param neededIndex Entries after it are needed by a replica that is fed.
   * @returns The replica with the shorter log.
   */
  *cut(
    state: replicaStates.ReplicaState,
    neededIndex: number,
  ): csp.Step<replicaStates.ReplicaState> {
    const index = this.#drafts.take();
    if (index === undefined || index <= this.#snapshotIndex) return state;
    const records = savedRecords.createRest(state, index);
    if (!(yield* this.#writer.takeDraft(records))) return state;
    this.#snapshotIndex = index;
    const cut = this.#budget.findCut(state.log, index, neededIndex);
    return replicaStates.trimLog(state, cut);
  }

  /** Puts a snapshot that was taken from a leader in the place of the log. */
  *restore(
    snapshot: messages.Snapshot,
    state: replicaStates.ReplicaState,
  ): csp.Step<void> {
    // Both write the same file.
    yield* csp.waitFor(this.#drafts.settle());
    yield* this.#writer.restore(snapshot, savedRecords.createHead(state));
    this.#snapshotIndex = snapshot.index;
  }

  /** Resolves once nothing is being written. */
  settle(): Promise<void> {
    return this.#drafts.settle();
  }
}
