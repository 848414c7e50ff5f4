/**
 * Tracks boxes that count as lost: those that are down, paused or partitioned,
 * and those that are still catching up. At most one box may be lost at a time.
 */
export class LossTracker {
  readonly #catchUpMs: number;
  readonly #lostUntilMs = new Map<string, number>();

  /** @param catchUpMs Time to catch up after a return, in ms. */
  constructor(catchUpMs: number) {
    this.#catchUpMs = catchUpMs;
  }

  /** Counts a box as lost until it has had time to catch up. */
  add(id: string, returnMs: number): void {
    const untilMs = returnMs + this.#catchUpMs;
    this.#lostUntilMs.set(
      id,
      Math.max(untilMs, this.#lostUntilMs.get(id) ?? 0),
    );
  }

  /** Removes a box that was replaced. */
  remove(id: string): void {
    this.#lostUntilMs.delete(id);
  }

  /** Lists the boxes that count as lost at a time. */
  listLost(nowMs: number): readonly string[] {
    return [...this.#lostUntilMs].filter(([, untilMs]) => untilMs > nowMs)
      .map(([id]) => id);
  }

  /** Whether no other box counts as lost. */
  canLose(id: string, nowMs: number): boolean {
    return this.listLost(nowMs).every((other) => other === id);
  }
}
