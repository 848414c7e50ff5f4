import * as csp from "../csp/mod.ts";
import type * as logAppliers from "./_log_applier.ts";
import type * as durableWriters from "./_durable_writer.ts";
import * as compactionPolicies from "./_compaction_policy.ts";
import type * as messages from "./message.ts";
import type * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";
import * as savedRecords from "./_saved_record.ts";
import * as snapshotWriters from "./_snapshot_writer.ts";

/** Options of a log compactor. */
export interface LogCompactorOptions {
  readonly writer: durableWriters.DurableWriter;
  /** Entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /** Last index of the snapshot on disk; 0 for none. */
  readonly snapshotIndex: number;
  /** Called if a write fails for another reason than a full disk. */
  readonly onFatal: (error: unknown) => void;
}

/**
 * Compacts a replica's log: writes snapshots and drops the entries they cover.
 */
export class LogCompactor {
  readonly #writer: durableWriters.DurableWriter;
  readonly #snapshots: snapshotWriters.SnapshotWriter;
  readonly #policy: compactionPolicies.CompactionPolicy;
  #snapshotIndex: number;

  constructor(options: LogCompactorOptions) {
    const { writer, snapshotEntries, snapshotIndex, onFatal } = options;
    this.#writer = writer;
    this.#snapshots = new snapshotWriters.SnapshotWriter(writer, onFatal);
    this.#policy = new compactionPolicies.CompactionPolicy(snapshotEntries);
    this.#snapshotIndex = snapshotIndex;
  }

  /** Counts applied entries towards the next snapshot. */
  recordApplied(entries: readonly replicaLogs.Entry[]): void {
    this.#policy.recordApplied(entries);
  }

  /** Starts writing a snapshot if one is due and none is being written. */
  startSnapshot(
    applier: logAppliers.LogApplier,
    log: replicaLogs.ReplicaLog,
  ): void {
    const count = applier.getAppliedIndex() - this.#snapshotIndex;
    if (this.#snapshots.isBusy() || !this.#policy.claimSnapshot(count)) return;
    this.#snapshots.start(applier.createSnapshot(log));
  }

  /**
   * Compacts the log if a snapshot has been written since the last call.
   *
   * @param state The replica.
   * @param neededIndex Index after which a follower needs the entries.
   * @returns The replica with the compacted log, or unchanged.
   */
  *compact(
    state: replicaStates.ReplicaState,
    neededIndex: number,
  ): csp.Step<replicaStates.ReplicaState> {
    const index = this.#snapshots.takeWrittenIndex();
    if (index === undefined || index <= this.#snapshotIndex) return state;
    const records = savedRecords.createRecordsAfter(state, index);
    if (!(yield* this.#writer.compactLog(records))) return state;
    this.#snapshotIndex = index;
    const trimIndex = this.#policy.findTrimIndex(state.log, index, neededIndex);
    return replicaStates.trimLog(state, trimIndex);
  }

  /** Replaces the log on disk by a snapshot from a leader. */
  *restore(
    snapshot: messages.Snapshot,
    state: replicaStates.ReplicaState,
  ): csp.Step<void> {
    // A local snapshot would be written to the same file.
    yield* csp.waitFor(this.#snapshots.waitUntilIdle());
    yield* this.#writer.installSnapshot(
      snapshot,
      savedRecords.createHeadRecords(state),
    );
    this.#snapshotIndex = snapshot.index;
  }

  /** Resolves once no snapshot is being written. */
  waitUntilIdle(): Promise<void> {
    return this.#snapshots.waitUntilIdle();
  }
}
