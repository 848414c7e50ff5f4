/**
 * A state machine that lists the string commands applied to it. Each command is one
 * part of its snapshot.
 */
export class ListStateMachine {
  values: readonly unknown[] = [];

  apply(command: unknown): number {
    if (typeof command === "string") this.values = [...this.values, command];
    return this.values.length;
  }

  save(): readonly unknown[] {
    return this.values;
  }

  restore(parts: readonly unknown[]): void {
    this.values = parts;
  }
}
