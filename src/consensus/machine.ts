/** What the log is applied to. */
export interface Machine {
  /** Applies a committed command and gives its answer. */
  apply(command: unknown): unknown;
  /** Gives the state as plain JSON. */
  save(): unknown;
  /** Replaces the state. */
  restore(state: unknown): void;
}
