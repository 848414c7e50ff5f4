import type * as consensus from "../consensus/mod.ts";
import type * as duties from "../duty/mod.ts";

/** A command that changes the state. */
export type GroupCommand =
  | duties.NoteHolder
  | { readonly kind: "retireBox"; readonly box: string }
  | { readonly kind: "load"; readonly payload: string };

/** The first part of a snapshot. */
interface SnapshotHeader {
  readonly holder: string | undefined;
  readonly retiring: readonly string[];
  readonly loadCount: number;
}

/** Load commands per further part of a snapshot. */
const COMMANDS_PER_PART = 10;

/** Stores the duty holder and the retiring boxes, and counts load commands. */
export class GroupStateMachine implements consensus.StateMachine {
  #holder: string | undefined;
  #retiring: readonly string[] = [];
  #loadCount = 0;

  getHolder(): string | undefined {
    return this.#holder;
  }

  listRetiring(): readonly string[] {
    return this.#retiring;
  }

  getLoadCount(): number {
    return this.#loadCount;
  }

  apply(command: unknown): unknown {
    const { kind } = command as { readonly kind: string };
    const groupCommand = command as GroupCommand;
    if (kind === "noteHolder" || kind === "retireBox" || kind === "load") {
      this.#applyCommand(groupCommand);
    }
    return { isKnown: true };
  }

  #applyCommand(command: GroupCommand): void {
    switch (command.kind) {
      case "noteHolder":
        this.#holder = command.box;
        return;
      case "retireBox":
        this.#retiring = [...new Set([...this.#retiring, command.box])];
        return;
      case "load":
        this.#loadCount += 1;
    }
  }

  save(): readonly unknown[] {
    const header: SnapshotHeader = {
      holder: this.#holder,
      retiring: this.#retiring,
      loadCount: this.#loadCount,
    };
    const parts = Math.ceil(this.#loadCount / COMMANDS_PER_PART);
    return [header, ...Array.from({ length: parts }, (_, part) => part)];
  }

  restore(parts: readonly unknown[]): void {
    const header = parts[0] as SnapshotHeader;
    this.#holder = header.holder;
    this.#retiring = header.retiring;
    this.#loadCount = header.loadCount;
  }
}
