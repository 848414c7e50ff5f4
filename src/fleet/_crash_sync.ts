import * as crashRecords from "../crash_record/mod.ts";

/** What the news of crashes need. */
export interface CrashSyncOptions {
  readonly crashTable: crashRecords.CrashTable;
  /** Takes what others know; true where it was not known here. */
  readonly learnCrash: (record: crashRecords.CrashRecord) => boolean;
  /** Told of each record that was not known here. */
  readonly onLearned: (record: crashRecords.CrashRecord) => void;
}

const NO_RECORDS: readonly crashRecords.CrashRecord[] = [];

/** Takes from other boxes which work servers ended under. */
export class CrashSync {
  readonly #options: CrashSyncOptions;

  constructor(options: CrashSyncOptions) {
    this.#options = options;
  }

  /** Takes records; undefined from a box of a version before. */
  merge(records: readonly crashRecords.CrashRecord[] = NO_RECORDS): void {
    const { learnCrash, onLearned } = this.#options;
    for (const record of records) {
      if (learnCrash(record)) onLearned(record);
    }
  }

  /**
   * Takes all that another box knows.
   *
   * @param peerRecords Its records; undefined where both knew the same.
   * @returns What it does not know.
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
