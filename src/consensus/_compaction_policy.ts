import * as entrySizes from "./_entry_size.ts";
import * as replicaLogs from "./replica_log.ts";

/**
 * Bytes of commands after which a snapshot is taken, whatever their number. A log
 * of 70 MB beside its state took a leader of 140 MB of heap out of memory while it
 * fed a replica (real processes, entries of 98 KB).
 */
const SNAPSHOT_BYTES = 24 * 1024 * 1024;
/** Bytes of entries that stay in memory beside a snapshot, for those that lag. */
const MAX_RETAINED_BYTES = 8 * 1024 * 1024;
/** Bytes that stay while a follower needs the entries. */
const MAX_NEEDED_BYTES = 32 * 1024 * 1024;

/** Says when a log is cut, and where: by its entries or by their bytes. */
export class CompactionPolicy {
  readonly #snapshotEntries: number;
  #appliedBytes = 0;

  /** @param snapshotEntries Entries after which a snapshot is taken. */
  constructor(snapshotEntries: number) {
    this.#snapshotEntries = snapshotEntries;
  }

  /** Notes entries that were applied. */
  recordApplied(entries: readonly replicaLogs.Entry[]): void {
    for (const entry of entries) {
      this.#appliedBytes += entrySizes.estimateBytes(entry);
    }
  }

  /**
   * Claims a snapshot where one is due; bytes are counted anew from then on.
   *
   * @param applied Entries that were applied since the last snapshot.
   * @returns Whether one is due.
   */
  claimSnapshot(applied: number): boolean {
    const isDue = applied >= this.#snapshotEntries ||
      (applied > 0 && this.#appliedBytes >= SNAPSHOT_BYTES);
    if (isDue) this.#appliedBytes = 0;
    return isDue;
  }

  /**
   * Finds the last entry that leaves the memory once a snapshot is written: half
   * as many entries stay as a snapshot covers, and no more bytes than is kept.
   * What a replica that is fed needs stays too, up to its own bound: cut away,
   * it would need a snapshot again, and again (200 commands a second, a
   * snapshot each 200: not whole after 5.1 s on a fake clock).
   *
   * @param log The log.
   * @param index Last index of the snapshot.
   * @param neededIndex Entries after it are needed by a replica that is fed.
   * @returns The index; not above the snapshot's.
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
