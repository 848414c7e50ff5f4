import * as crashRecords from "../crash_record/mod.ts";

/** What the news of crashes need. */
export interface CrashNewsOptions {
  readonly crashTable: crashRecords.CrashTable;
  /** Takes what others know; true where it was not known here. */
  readonly learnCrash: (record: crashRecords.CrashRecord) => boolean;
  /** Told of each record that was not known here. */
  readonly onLearned: (record: crashRecords.CrashRecord) => void;
}

const NONE: readonly crashRecords.CrashRecord[] = [];

/** Takes from other boxes which work servers ended under. */
export class CrashNews {
  readonly #options: CrashNewsOptions;

  constructor(options: CrashNewsOptions) {
    this.#options = options;
  }

  /** Takes records; undefined from a box of a version before. */
  take(records: readonly crashRecords.CrashRecord[] = NONE): void {
    const { learnCrash, onLearned } = this.#options;
    for (const record of records) {
      if (learnCrash(record)) onLearned(record);
    }
  }

  /**
   * Takes all that another box knows.
   *
   * @param theirs Its records; undefined where both knew the same.
   * @returns What it does not know.
   */
  compare(
    theirs: readonly crashRecords.CrashRecord[] | undefined,
  ): readonly crashRecords.CrashRecord[] {
    if (theirs === undefined) return NONE;
    this.take(theirs);
    const known = new Set(theirs.map(crashRecords.createRecordKey));
    return this.#options.crashTable.list().filter((record) =>
      !known.has(crashRecords.createRecordKey(record))
    );
  }
}
