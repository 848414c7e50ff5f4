import * as crashRecords from "../crash_record/mod.ts";

/** Dependencies of a crash sync. */
export interface CrashSyncOptions {
  readonly crashTable: crashRecords.CrashTable;
  /** Merges a record from another box; returns whether it added anything. */
  readonly learnCrash: (record: crashRecords.CrashRecord) => boolean;
  /** Called for each record that added something. */
  readonly onLearned: (record: crashRecords.CrashRecord) => void;
}

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

  /** Merges records; undefined if the sender runs a version without them. */
  merge(records: readonly crashRecords.CrashRecord[] = NO_RECORDS): void {
    const { learnCrash, onLearned } = this.#options;
    for (const record of records) {
      if (learnCrash(record)) onLearned(record);
    }
  }

  /**
   * Merges all records of another box.
   *
   * @param peerRecords Its records; undefined if both boxes had the same.
   * @returns The records that the other box lacks or holds in another version.
   */
  reconcile(
    peerRecords: readonly crashRecords.CrashRecord[] | undefined,
  ): readonly crashRecords.CrashRecord[] {
    if (peerRecords === undefined) return NO_RECORDS;
    this.merge(peerRecords);
    const peerKeys = new Set(peerRecords.map(crashRecords.createRecordKey));
    return this.#options.crashTable.list().filter((record) =>
      !peerKeys.has(crashRecords.createRecordKey(record))
    );
  }
}
