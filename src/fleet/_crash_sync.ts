import type * as protocol from "./protocol.ts";
import * as crashRecords from "../crash_record/mod.ts";

/** State of a box: whether it holds the crash records that the stores keep. */
export interface CrashSyncState {
  isComplete(): boolean;
  complete(): void;
}

/** Dependencies of a crash sync. */
export interface CrashSyncOptions {
  readonly crashTable: crashRecords.CrashTable;
  readonly recordSync: CrashSyncState;
  /** Merges a record from another box; returns whether it added anything. */
  readonly learnCrash: (record: crashRecords.CrashRecord) => boolean;
  /** Called for each record that added something. */
  readonly onLearned: (record: crashRecords.CrashRecord) => void;
}

/** The part of a message that is about crash records. */
type CrashNews = Pick<
  protocol.GossipMessage,
  "crashes" | "completesCrashes"
>;

const NO_RECORDS: readonly crashRecords.CrashRecord[] = [];

/**
 * Exchanges crash records with other boxes: the pieces of work during which
 * backend servers crashed.
 */
export class CrashSync {
  readonly #options: CrashSyncOptions;

  constructor(options: CrashSyncOptions) {
    this.#options = options;
  }

  /** Merges the records of a message. */
  merge({ crashes = NO_RECORDS, completesCrashes }: CrashNews): void {
    const { learnCrash, onLearned, recordSync } = this.#options;
    for (const record of crashes) {
      if (learnCrash(record)) onLearned(record);
    }
    if (completesCrashes === true) recordSync.complete();
  }

  /**
   * Merges the records in a peer's reply.
   *
   * @param reply The reply; without records if both boxes have the same.
   * @returns What the peer lacks, for a message to it; undefined if nothing.
   */
  reconcile(
    { crashes, knowsCrashes }: protocol.SyncReply,
  ): CrashNews | undefined {
    const { crashTable, recordSync } = this.#options;
    this.merge({ crashes, completesCrashes: knowsCrashes });
    if (crashes === undefined) return undefined;
    const peerKeys = new Set(crashes.map(crashRecords.createRecordKey));
    const missing = crashTable.list().filter((record) =>
      !peerKeys.has(crashRecords.createRecordKey(record))
    );
    const completesCrashes = knowsCrashes === false && recordSync.isComplete();
    if (missing.length === 0 && !completesCrashes) return undefined;
    return { crashes: missing, completesCrashes };
  }
}
