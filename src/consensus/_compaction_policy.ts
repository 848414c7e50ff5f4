import * as entrySizes from "./_entry_size.ts";
import * as replicaLogs from "./replica_log.ts";

/**
 * Bytes of applied entries after which a snapshot is taken, whatever their number.
 * Bounds the memory that the log occupies: beside the state, a log of 70 MB can
 * exhaust a heap of 140 MB while a replica catches up.
 */
const SNAPSHOT_BYTES = 24 * 1024 * 1024;
/** Most bytes of recent entries that stay in memory for followers that lag. */
const MAX_RETAINED_BYTES = 8 * 1024 * 1024;
/** Most bytes of entries that stay in memory while a follower needs them. */
const MAX_NEEDED_BYTES = 32 * 1024 * 1024;

/** Decides when a snapshot is taken and which entries it lets the log drop. */
export class CompactionPolicy {
  readonly #snapshotEntries: number;
  #appliedBytes = 0;

  /** @param snapshotEntries Entries after which a snapshot is taken. */
  constructor(snapshotEntries: number) {
    this.#snapshotEntries = snapshotEntries;
  }

  /** Counts the bytes of applied entries. */
  recordApplied(entries: readonly replicaLogs.Entry[]): void {
    for (const entry of entries) {
      this.#appliedBytes += entrySizes.estimateBytes(entry);
    }
  }

  /**
   * Tells whether a snapshot is due; if so, resets the count of bytes.
   *
   * @param applied Number of entries applied since the last snapshot.
   * @returns Whether a snapshot is due.
   */
  claimSnapshot(applied: number): boolean {
    const isDue = applied >= this.#snapshotEntries ||
      (applied > 0 && this.#appliedBytes >= SNAPSHOT_BYTES);
    if (isDue) this.#appliedBytes = 0;
    return isDue;
  }

  /**
   * Finds the last entry to drop from memory once a snapshot is written. The most
   * recent entries stay: half the number between two snapshots, within
   * `MAX_RETAINED_BYTES`. Entries that a follower needs stay too, within
   * `MAX_NEEDED_BYTES`; otherwise it could need one snapshot after another.
   *
   * @param log The log.
   * @param index Last index of the snapshot.
   * @param neededIndex Index after which a follower needs the entries.
   * @returns The index of the last entry to drop, at most `index`.
   */
  findTrimIndex(
    log: replicaLogs.ReplicaLog,
    index: number,
    neededIndex: number,
  ): number {
    const covered = replicaLogs.getEntries(
      log,
      log.snapshotIndex + 1,
      index - log.snapshotIndex,
    );
    const retainedAfterIndex = index - Math.floor(this.#snapshotEntries / 2);
    let bytes = 0;
    for (const entry of covered.toReversed()) {
      bytes += entrySizes.estimateBytes(entry);
      const isNeeded = entry.index > neededIndex && bytes <= MAX_NEEDED_BYTES;
      const isRecent = entry.index > retainedAfterIndex &&
        bytes <= MAX_RETAINED_BYTES;
      if (!isNeeded && !isRecent) return entry.index;
    }
    return log.snapshotIndex;
  }
}
