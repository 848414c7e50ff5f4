import * as csp from "../csp/mod.ts";
import type * as logAppliers from "./_log_applier.ts";
import type * as durableWriters from "./_durable_writer.ts";
import * as compactionPolicies from "./_compaction_policy.ts";
import type * as messages from "./message.ts";
import type * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";
import * as savedRecords from "./_saved_record.ts";
import * as snapshotWriters from "./_snapshot_writer.ts";

/** What a log cutter needs. */
export interface LogCompactorOptions {
  readonly writer: durableWriters.DurableWriter;
  /** Entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /** Last index of the snapshot that the disk holds; 0 for none. */
  readonly snapshotIndex: number;
  /** Told of a failed write, but for a full disk. */
  readonly onFatal: (error: unknown) => void;
}

/** Keeps a replica's log short: writes snapshots beside it and cuts it by them. */
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

  /** Notes entries that were applied. */
  recordApplied(entries: readonly replicaLogs.Entry[]): void {
    this.#policy.recordApplied(entries);
  }

  /** Writes a snapshot beside the log once enough was applied. */
  startSnapshot(
    applier: logAppliers.LogApplier,
    log: replicaLogs.ReplicaLog,
  ): void {
    const count = applier.getAppliedIndex() - this.#snapshotIndex;
    if (this.#snapshots.isBusy() || !this.#policy.claimSnapshot(count)) return;
    this.#snapshots.start(applier.createSnapshot(log));
  }

  /**
   * Shortens the log by a snapshot that is now written, if there is one.
   *
   * @param state The replica.
   * @param neededIndex Entries after it are needed by a replica that is fed.
   * @returns The replica with the shorter log.
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

  /** Puts a snapshot that was taken from a leader in the place of the log. */
  *restore(
    snapshot: messages.Snapshot,
    state: replicaStates.ReplicaState,
  ): csp.Step<void> {
    // Both write the same file.
    yield* csp.waitFor(this.#snapshots.waitUntilIdle());
    yield* this.#writer.installSnapshot(
      snapshot,
      savedRecords.createHeadRecords(state),
    );
    this.#snapshotIndex = snapshot.index;
  }

  /** Resolves once nothing is being written. */
  waitUntilIdle(): Promise<void> {
    return this.#snapshots.waitUntilIdle();
  }
}
