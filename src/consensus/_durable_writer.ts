import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as storage from "../storage/mod.ts";
import type * as messages from "./message.ts";
import type * as savedRecords from "./_saved_record.ts";

/** Between two tries to write to a full disk, in ms. */
const DISK_FULL_RETRY_MS = 200;

/** Writes a replica's log; a full disk is waited for, any other error thrown. */
export class DurableWriter {
  readonly #log: storage.DurableLog;
  readonly #clock: clocks.Clock;
  #isStopped = false;
  /** When the write under way began, in monotonic ms. */
  #writeStartMs: number | undefined;

  constructor(log: storage.DurableLog, clock: clocks.Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Appends records, again and again while the disk is full. */
  *append(records: readonly savedRecords.SavedRecord[]): csp.Step<void> {
    yield* this.#trackDuration(this.#retry(() => this.#log.append(records)));
  }

  /** Replaces the log by a snapshot, again and again while the disk is full. */
  *installSnapshot(
    snapshot: messages.Snapshot,
    records: readonly savedRecords.SavedRecord[],
  ): csp.Step<void> {
    yield* this.#trackDuration(
      this.#retry(() => this.#log.compact(toStored(snapshot), records)),
    );
  }

  /**
   * Writes a snapshot beside the log, which takes records meanwhile.
   *
   * @returns Whether it is written; not so when the disk is full.
   */
  async writeSnapshot(snapshot: messages.Snapshot): Promise<boolean> {
    try {
      await this.#log.writeSnapshotDraft(toStored(snapshot));
      return true;
    } catch (error) {
      if (storage.isDiskFull(error)) return false;
      throw error;
    }
  }

  /** Shortens the log by the written snapshot; all stays when the disk is full. */
  *compactLog(
    records: readonly savedRecords.SavedRecord[],
  ): csp.Step<boolean> {
    try {
      yield* this.#trackDuration(
        csp.waitFor(this.#log.installSnapshotDraft(records)),
      );
      return true;
    } catch (error) {
      if (storage.isDiskFull(error)) return false;
      throw error;
    }
  }

  /** How long the write under way has lasted, in ms; 0 for none. */
  getWritingMs(): number {
    if (this.#writeStartMs === undefined) return 0;
    return Math.round(this.#clock.getMonotonicMs() - this.#writeStartMs);
  }

  /** Waits for a disk no longer; what is under way is not finished. */
  stop(): void {
    this.#isStopped = true;
  }

  close(): Promise<void> {
    return this.#log.close();
  }

  /** Keeps since when a write that the replica waits for is under way. */
  *#trackDuration<T>(write: csp.Step<T>): csp.Step<T> {
    this.#writeStartMs = this.#clock.getMonotonicMs();
    try {
      return yield* write;
    } finally {
      this.#writeStartMs = undefined;
    }
  }

  *#retry(write: () => Promise<void>): csp.Step<void> {
    while (!this.#isStopped) {
      try {
        return yield* csp.waitFor(write());
      } catch (error) {
        if (!storage.isDiskFull(error)) throw error;
      }
      yield* csp.waitFor(clocks.sleep(this.#clock, DISK_FULL_RETRY_MS));
    }
  }
}

function toStored(snapshot: messages.Snapshot): storage.StoredSnapshot {
  const { state, ...head } = snapshot;
  return { head, parts: state };
}
