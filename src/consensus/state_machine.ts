/** A deterministic state machine that committed log entries are applied to. */
export interface StateMachine {
  /** Applies a committed command and returns the result for its proposer. */
  apply(command: unknown): unknown;
  /**
   * Returns the state as JSON values, split into small parts. The returned
   * values must not change when later commands are applied.
   */
  save(): readonly unknown[];
  /** Replaces the state with parts returned by `save`. */
  restore(parts: readonly unknown[]): void;
}
