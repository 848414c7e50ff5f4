/**
 * Which boxes count as lost: those that are down, frozen or cut, and those that
 * came back less than a while ago. One box may be lost at a time.
 */
export class LossTracker {
  readonly #catchUpMs: number;
  readonly #lostUntilMs = new Map<string, number>();

  /** @param catchUpMs Time for which a box that is back still counts, in ms. */
  constructor(catchUpMs: number) {
    this.#catchUpMs = catchUpMs;
  }

  /** Counts a box as lost until some time after its return. */
  add(id: string, returnMs: number): void {
    const untilMs = returnMs + this.#catchUpMs;
    this.#lostUntilMs.set(
      id,
      Math.max(untilMs, this.#lostUntilMs.get(id) ?? 0),
    );
  }

  /** Forgets a box that was replaced; its successor counts instead. */
  remove(id: string): void {
    this.#lostUntilMs.delete(id);
  }

  /** Boxes that count as lost now. */
  listLost(nowMs: number): readonly string[] {
    return [...this.#lostUntilMs].filter(([, untilMs]) => untilMs > nowMs)
      .map(([id]) => id);
  }

  /** Whether a box may be lost now: no other one is. */
  canLose(id: string, nowMs: number): boolean {
    return this.listLost(nowMs).every((other) => other === id);
  }
}
