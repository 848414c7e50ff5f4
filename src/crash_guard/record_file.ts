import * as fs from "node:fs";
import * as fsPromises from "node:fs/promises";
import * as path from "node:path";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as logs from "../log/mod.ts";
import * as storage from "../storage/mod.ts";

const FILE_NAME = "crashes";

/**
 * Keeps the crash records of a store box on its disk, beside the replicated log.
 * They survive a restart of all boxes even if no leader could commit them before.
 */
export class RecordFile {
  readonly #filePath: string;
  readonly #log: logs.Log;
  /** Hash of the records that the file holds. */
  #savedHash = "";
  #isSaving = false;
  /** The save in progress, or the last one. */
  #lastSave: Promise<void> = Promise.resolve();
  /** Whether the last save failed; only the first of several is logged. */
  #isFailing = false;

  /** @param folder Data folder of the store box; must exist on a save. */
  constructor(folder: string, log: logs.Log) {
    this.#filePath = path.join(folder, FILE_NAME);
    this.#log = log;
  }

  /** Reads the records; none if the file is missing or can't be read. */
  load(): readonly crashRecords.CrashRecord[] {
    if (!fs.existsSync(this.#filePath)) return [];
    try {
      const bytes = fs.readFileSync(this.#filePath);
      const record = storage.decodeRecord(bytes, 0);
      if (record === undefined) throw new Error("the checksum is wrong");
      return JSON.parse(record.payload.toString());
    } catch (error) {
      this.#reportError("read", error);
      return [];
    }
  }

  /**
   * Replaces the file if the table has changed since the last save, unless a save
   * is in progress. A failed save is logged and repeated by the next call.
   *
   * @returns Resolves after the save in progress, if any; never rejects.
   */
  save(table: crashRecords.CrashTable): Promise<void> {
    if (!this.#isSaving && table.getContentHash() !== this.#savedHash) {
      this.#isSaving = true;
      this.#lastSave = this.#updateFile(table);
    }
    return this.#lastSave;
  }

  async #updateFile(table: crashRecords.CrashTable): Promise<void> {
    const hash = table.getContentHash();
    try {
      await this.#write(JSON.stringify(table.list()));
      this.#savedHash = hash;
      this.#isFailing = false;
    } catch (error) {
      if (!this.#isFailing) this.#reportError("write", error);
      this.#isFailing = true;
    } finally {
      this.#isSaving = false;
    }
  }

  async #write(text: string): Promise<void> {
    const temporaryPath = `${this.#filePath}.tmp`;
    const file = await fsPromises.open(temporaryPath, "w");
    try {
      await file.writeFile(storage.encodeRecord(Buffer.from(text)));
      await file.datasync();
    } finally {
      await file.close();
    }
    await fsPromises.rename(temporaryPath, this.#filePath);
  }

  #reportError(operation: string, error: unknown): void {
    this.#log.write("warn", "crash.fileFailed", {
      operation,
      message: (error as Error).message,
    });
  }
}
