import type * as durableWriters from "./_durable_writer.ts";
import type * as messages from "./message.ts";

/** A snapshot that is written beside the log. */
interface PendingSnapshot {
  readonly index: number;
  state: "writing" | "written" | "failed";
}

/**
 * Writes snapshots beside the log, one at a time, so that a large state does
 * not hold up what comes meanwhile.
 */
export class SnapshotWriter {
  readonly #writer: durableWriters.DurableWriter;
  readonly #onFatal: (error: unknown) => void;
  #pending: PendingSnapshot | undefined;
  #idle: Promise<void> = Promise.resolve();

  /** @param onFatal Told of a failed write, but for a full disk. */
  constructor(
    writer: durableWriters.DurableWriter,
    onFatal: (error: unknown) => void,
  ) {
    this.#writer = writer;
    this.#onFatal = onFatal;
  }

  isBusy(): boolean {
    return this.#pending !== undefined;
  }

  start(snapshot: messages.Snapshot): void {
    const pending: PendingSnapshot = {
      index: snapshot.index,
      state: "writing",
    };
    this.#pending = pending;
    this.#idle = this.#write(snapshot, pending);
  }

  /** Gives the index of a snapshot that is now written, once. */
  takeWrittenIndex(): number | undefined {
    const pending = this.#pending;
    if (pending === undefined || pending.state === "writing") return undefined;
    this.#pending = undefined;
    return pending.state === "written" ? pending.index : undefined;
  }

  /** Resolves once nothing is being written. */
  waitUntilIdle(): Promise<void> {
    return this.#idle;
  }

  async #write(
    snapshot: messages.Snapshot,
    pending: PendingSnapshot,
  ): Promise<void> {
    try {
      const isWritten = await this.#writer.writeSnapshot(snapshot);
      pending.state = isWritten ? "written" : "failed";
    } catch (error) {
      pending.state = "failed";
      this.#onFatal(error);
    }
  }
}
