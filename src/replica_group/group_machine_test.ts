import type * as consensus from "../consensus/mod.ts";
import type * as duties from "../duty/mod.ts";

/** A command that the machine keeps. */
export type GroupCommand =
  | duties.NoteHolder
  | { readonly kind: "retireBox"; readonly box: string }
  | { readonly kind: "load" };

/** The first part of a saved state. */
interface SavedHead {
  readonly holder: string | undefined;
  readonly retiring: readonly string[];
  readonly loaded: number;
}

/** Commands for each part of a saved state. */
const LOADS_A_PART = 10;

/** Knows who holds the duties and who is to be emptied; counts the rest. */
export class GroupMachine implements consensus.StateMachine {
  #holder: string | undefined;
  #retiring: readonly string[] = [];
  #loaded = 0;

  getHolder(): string | undefined {
    return this.#holder;
  }

  listRetiring(): readonly string[] {
    return this.#retiring;
  }

  countLoaded(): number {
    return this.#loaded;
  }

  apply(command: unknown): unknown {
    const { kind } = command as { readonly kind: string };
    const known = command as GroupCommand;
    if (kind === "noteHolder" || kind === "retireBox" || kind === "load") {
      this.#apply(known);
    }
    return { isKnown: true };
  }

  #apply(command: GroupCommand): void {
    switch (command.kind) {
      case "noteHolder":
        this.#holder = command.box;
        return;
      case "retireBox":
        this.#retiring = [...new Set([...this.#retiring, command.box])];
        return;
      case "load":
        this.#loaded += 1;
    }
  }

  save(): readonly unknown[] {
    const head: SavedHead = {
      holder: this.#holder,
      retiring: this.#retiring,
      loaded: this.#loaded,
    };
    const parts = Math.ceil(this.#loaded / LOADS_A_PART);
    return [head, ...Array.from({ length: parts }, (_, part) => part)];
  }

  restore(parts: readonly unknown[]): void {
    const head = parts[0] as SavedHead;
    this.#holder = head.holder;
    this.#retiring = head.retiring;
    this.#loaded = head.loaded;
  }
}
