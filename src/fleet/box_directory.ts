import type * as clocks from "../clock/mod.ts";
import * as boxRecords from "./box_record.ts";

/** A box silent for this long is taken for gone; three lost refreshes. */
export const BOX_TIMEOUT_MS = 1_800;
/** A box silent for this long is forgotten; a late record brings it back. */
const RETENTION_MS = 60_000;

/** Former processes of a box that are remembered. */
const MAX_FORMER_STARTS = 4;

/** A known box, and when news of it came. */
interface KnownBox {
  readonly record: boxRecords.BoxRecord;
  readonly lastSeenMs: number;
  /** Starts of its former processes, oldest first; they count no more. */
  readonly formerStarts: readonly number[];
}

/** What a merged record changed. */
export type MergeOutcome = "old" | "refreshed" | "changed";

/** The boxes that this box knows, with the time of the last news of each. */
export class BoxDirectory {
  readonly #clock: clocks.Clock;
  readonly #boxes = new Map<string, KnownBox>();

  constructor(clock: clocks.Clock) {
    this.#clock = clock;
  }

  /**
   * Takes a record if it is newer than the known one, or if that one's process is
   * silent and this is of another: with a clock stepped back before its start it
   * has the earlier time, and would be taken for gone for up to a minute.
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
      lastSeenMs: lastSeenMs,
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

  findByName(name: string): boxRecords.BoxRecord | undefined {
    const named = [...this.#boxes.values()].filter((box) =>
      box.record.name === name
    );
    return named.sort((a, b) => b.lastSeenMs - a.lastSeenMs)[0]?.record;
  }

  /** All known boxes, silent ones among them. */
  listAll(): readonly boxRecords.BoxRecord[] {
    this.#removeExpired();
    return [...this.#boxes.values()].map((box) => box.record);
  }

  /** Boxes that were heard lately. */
  listAlive(): readonly boxRecords.BoxRecord[] {
    return [...this.#boxes.values()].filter((box) => !this.#isSilent(box))
      .map((box) => box.record);
  }

  /** Time since the last news of a box, in ms. */
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
