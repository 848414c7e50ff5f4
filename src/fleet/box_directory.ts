import type * as clocks from "../clock/mod.ts";
import * as boxRecords from "./box_record.ts";

/** A box is considered dead after this silence, in ms; spans three refreshes. */
export const BOX_TIMEOUT_MS = 1_800;
/** A dead box is removed after this silence, in ms; a new record restores it. */
const RETENTION_MS = 60_000;

/** Start times of former processes that are remembered for each box. */
const MAX_FORMER_STARTS = 4;

/** The latest record of a box and when it arrived. */
interface KnownBox {
  readonly record: boxRecords.BoxRecord;
  /** Monotonic time of the last record or refresh, in ms. */
  readonly lastSeenMs: number;
  /** Start times of its former processes, oldest first; their records are refused. */
  readonly formerStarts: readonly number[];
}

/** Effect of merging a record: ignored, same content, or new content. */
export type MergeOutcome = "old" | "refreshed" | "changed";

/** The known boxes, with the latest record of each and its time of arrival. */
export class BoxDirectory {
  readonly #clock: clocks.Clock;
  readonly #boxes = new Map<string, KnownBox>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /**
   * Stores a record if it is newer than the known one, or if the known process
   * is silent and the record is from another process. The latter covers a
   * process restarted after its clock was stepped back, whose start time is
   * earlier than that of its predecessor.
   */
  merge(record: boxRecords.BoxRecord): MergeOutcome {
    const known = this.#boxes.get(record.id);
    const wasSilent = known === undefined || this.#isSilent(known);
    const isOtherProcess = record.startedAtMs !== known?.record.startedAtMs;
    const isNewer = boxRecords.isNewer(record, known?.record) ||
      (wasSilent && isOtherProcess);
    const formerStarts = known?.formerStarts ?? [];
    if (!isNewer || formerStarts.includes(record.startedAtMs)) return "old";
    const lastSeenMs = this.#clock.getMonotonicMs();
    this.#boxes.set(record.id, {
      record,
      lastSeenMs,
      formerStarts: isOtherProcess && known !== undefined
        ? [
          ...formerStarts.slice(1 - MAX_FORMER_STARTS),
          known.record.startedAtMs,
        ]
        : formerStarts,
    });
    if (wasSilent) return "changed";
    const previousContent = boxRecords.describeContent(known.record);
    return boxRecords.describeContent(record) === previousContent
      ? "refreshed"
      : "changed";
  }

  get(id: string): boxRecords.BoxRecord | undefined {
    return this.#boxes.get(id)?.record;
  }

  /** Finds the box of a name; the last one seen if several had that name. */
  findByName(name: string): boxRecords.BoxRecord | undefined {
    const named = [...this.#boxes.values()].filter((box) =>
      box.record.name === name
    );
    return named.sort((a, b) => b.lastSeenMs - a.lastSeenMs)[0]?.record;
  }

  /** All known boxes, silent ones included. */
  listAll(): readonly boxRecords.BoxRecord[] {
    this.#removeExpired();
    return [...this.#boxes.values()].map((box) => box.record);
  }

  /** Boxes seen within BOX_TIMEOUT_MS. */
  listAlive(): readonly boxRecords.BoxRecord[] {
    return [...this.#boxes.values()].filter((box) => !this.#isSilent(box))
      .map((box) => box.record);
  }

  /** Time since a box was last seen, in ms; infinite for an unknown box. */
  getSilenceMs(id: string): number {
    const known = this.#boxes.get(id);
    if (known === undefined) return Number.POSITIVE_INFINITY;
    return this.#clock.getMonotonicMs() - known.lastSeenMs;
  }

  #isSilent(box: KnownBox): boolean {
    return this.#clock.getMonotonicMs() - box.lastSeenMs > BOX_TIMEOUT_MS;
  }

  #removeExpired(): void {
    const nowMs = this.#clock.getMonotonicMs();
    for (const [id, box] of this.#boxes) {
      if (nowMs - box.lastSeenMs > RETENTION_MS) this.#boxes.delete(id);
    }
  }
}
