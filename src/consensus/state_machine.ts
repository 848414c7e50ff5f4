/** What the log is applied to. */
export interface StateMachine {
  /** Applies a committed command and gives its answer. */
  apply(command: unknown): unknown;
  /**
   * Gives the state as plain JSON in parts, none of them large. What it gives
   * must not change when later commands are applied.
   */
  save(): readonly unknown[];
  /** Replaces the state by what `save` gave. */
  restore(parts: readonly unknown[]): void;
}
