import type * as durableWriters from "./_durable_writer.ts";
import type * as messages from "./message.ts";

/** A snapshot that is written beside the log. */
interface Draft {
  readonly index: number;
  state: "writing" | "written" | "failed";
}

/**
 * Writes snapshots beside the log, one at a time, so that a large state does
 * not hold up what comes meanwhile.
 */
export class SnapshotDrafts {
  readonly #writer: durableWriters.DurableWriter;
  readonly #onFatal: (error: unknown) => void;
  #draft: Draft | undefined;
  #settled: Promise<void> = Promise.resolve();

  /** @param onFatal Told of a failed write, but for a full disk. */
  constructor(
    writer: durableWriters.DurableWriter,
    onFatal: (error: unknown) => void,
  ) {
    this.#writer = writer;
    this.#onFatal = onFatal;
  }

  isBusy(): boolean {
    return this.#draft !== undefined;
  }

  start(snapshot: messages.Snapshot): void {
    const draft: Draft = { index: snapshot.index, state: "writing" };
    this.#draft = draft;
    this.#settled = this.#write(snapshot, draft);
  }

  /** Gives the index of a snapshot that is now written, once. */
  take(): number | undefined {
    const draft = this.#draft;
    if (draft === undefined || draft.state === "writing") return undefined;
    this.#draft = undefined;
    return draft.state === "written" ? draft.index : undefined;
  }

  /** Resolves once nothing is being written. */
  settle(): Promise<void> {
    return this.#settled;
  }

  async #write(snapshot: messages.Snapshot, draft: Draft): Promise<void> {
    try {
      const isWritten = await this.#writer.writeDraft(snapshot);
      draft.state = isWritten ? "written" : "failed";
    } catch (error) {
      draft.state = "failed";
      this.#onFatal(error);
    }
  }
}
