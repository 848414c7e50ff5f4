/**
 * Keeps the commands that tests propose, which are texts; each is a part of its
 * state.
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
