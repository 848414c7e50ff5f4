import * as entrySizes from "./_entry_size.ts";
import * as replicaLogs from "./replica_log.ts";

/**
 * Bytes of commands after which a snapshot is taken, whatever their number. A log
 * of 70 MB beside its state took a leader of 140 MB of heap out of memory while it
 * fed a replica (real processes, entries of 98 KB).
 */
const SNAPSHOT_BYTES = 24 * 1024 * 1024;
/** Bytes of entries that stay in memory beside a snapshot, for those that lag. */
const KEPT_BYTES = 8 * 1024 * 1024;

/** Says when a log is cut, and where: by its entries or by their bytes. */
export class LogBudget {
  readonly #snapshotEntries: number;
  #appliedBytes = 0;

  /** @param snapshotEntries Entries after which a snapshot is taken. */
  constructor(snapshotEntries: number) {
    this.#snapshotEntries = snapshotEntries;
  }

  /** Notes entries that were applied. */
  add(entries: readonly replicaLogs.Entry[]): void {
    for (const entry of entries) {
      this.#appliedBytes += entrySizes.estimateBytes(entry);
    }
  }

  /**
   * Tells whether a snapshot is due; counts bytes anew from then on.
   *
   * @param applied Entries that were applied since the last snapshot.
   */
  take(applied: number): boolean {
    const isDue = applied >= this.#snapshotEntries ||
      (applied > 0 && this.#appliedBytes >= SNAPSHOT_BYTES);
    if (isDue) this.#appliedBytes = 0;
    return isDue;
  }

  /**
   * Finds the last entry that leaves the memory once a snapshot is written: half
   * as many entries stay as a snapshot covers, and no more bytes than is kept.
   *
   * @param log The log.
   * @param index Last index of the snapshot.
   * @returns The index; not above the snapshot's.
   */
  findCut(log: replicaLogs.ReplicaLog, index: number): number {
    const least = Math.max(
      log.snapshotIndex,
      index - Math.floor(this.#snapshotEntries / 2),
    );
    let cut = index;
    let bytes = 0;
    for (const entry of listBackwards(log, cut, least)) {
      bytes += entrySizes.estimateBytes(entry);
      if (bytes > KEPT_BYTES) break;
      cut = entry.index - 1;
    }
    return cut;
  }
}

/** Entries from an index down to the one after another. */
function listBackwards(
  log: replicaLogs.ReplicaLog,
  fromIndex: number,
  downTo: number,
): readonly replicaLogs.Entry[] {
  return replicaLogs.getEntries(log, downTo + 1, fromIndex - downTo)
    .toReversed();
}
