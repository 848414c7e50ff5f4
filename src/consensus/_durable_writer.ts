import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as storage from "../storage/mod.ts";
import type * as messages from "./message.ts";
import type * as savedRecords from "./_saved_record.ts";

/** Delay before a write to a full disk is retried, in ms. */
const DISK_FULL_RETRY_MS = 200;

/**
 * Writes a replica's log. Writes that the replica waits for are retried while the
 * disk is full; any other error is thrown.
 */
export class DurableWriter {
  readonly #log: storage.DurableLog;
  readonly #clock: clocks.Clock;
  #isStopped = false;
  /** Monotonic time at which the write in progress began, in ms. */
  #writeStartMs: number | undefined;

  constructor(log: storage.DurableLog, clock: clocks.Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** Appends records; retries while the disk is full. */
  *append(records: readonly savedRecords.SavedRecord[]): csp.Step<void> {
    yield* this.#trackDuration(this.#retry(() => this.#log.append(records)));
  }

  /**
   * Replaces the log by a snapshot and records; retries while the disk is full.
   */
  *installSnapshot(
    snapshot: messages.Snapshot,
    records: readonly savedRecords.SavedRecord[],
  ): csp.Step<void> {
    yield* this.#trackDuration(
      this.#retry(() => this.#log.compact(toStored(snapshot), records)),
    );
  }

  /**
   * Writes a snapshot to a separate file; records can be appended meanwhile.
   *
   * @returns Whether it was written; false if the disk is full.
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

  /**
   * Replaces the log by the written snapshot and the records after it.
   *
   * @returns Whether it was replaced; false, with the log unchanged, if the disk
   * is full.
   */
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

  /** Returns the age of the write in progress, in ms; 0 if there is none. */
  getWritingMs(): number {
    if (this.#writeStartMs === undefined) return 0;
    return Math.round(this.#clock.getMonotonicMs() - this.#writeStartMs);
  }

  /** Stops retrying writes to a full disk; one that awaits a retry is abandoned. */
  stop(): void {
    this.#isStopped = true;
  }

  close(): Promise<void> {
    return this.#log.close();
  }

  /** Records the start time of a write while it is in progress. */
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
