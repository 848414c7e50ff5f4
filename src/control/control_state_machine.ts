import type * as consensus from "../consensus/mod.ts";
import * as replicated from "../replicated_state/mod.ts";
import type * as protocols from "./protocol.ts";

/** The replicated state under the consensus log. */
export class ControlStateMachine implements consensus.StateMachine {
  readonly #onChange: () => void;
  #state = replicated.EMPTY_STATE;

  /** @param onChange Told when the configuration revision rose. */
  constructor(onChange: () => void) {
    this.#onChange = onChange;
  }

  getState(): replicated.ReplicatedState {
    return this.#state;
  }

  apply(command: unknown): replicated.CommandAnswer {
    const previousRevision = this.#state.revision;
    const applied = replicated.applyCommand(
      this.#state,
      command as replicated.Command,
    );
    this.#state = applied.state;
    if (this.#state.revision !== previousRevision) this.#onChange();
    return applied.answer;
  }

  save(): readonly [replicated.SavedState] {
    return [replicated.saveState(this.#state)];
  }

  restore(parts: readonly unknown[]): void {
    this.#state = replicated.loadState(parts[0] as replicated.SavedState);
    this.#onChange();
  }
}

/**
 * Collects the configuration that is newer than a revision.
 *
 * @param state The state.
 * @param afterRevision The revision that is held already.
 * @returns Whole values, each with its revision.
 */
export function collectChange(
  state: replicated.ReplicatedState,
  afterRevision: number,
): protocols.ConfigChange {
  const { revision } = state;
  if (afterRevision >= revision) {
    return { revision, accounts: [], templates: [], models: [] };
  }
  return {
    revision,
    accounts: [...state.accounts.values()].filter((item) =>
      item.revision > afterRevision
    ),
    templates: [...state.templates.values()].filter((item) =>
      item.revision > afterRevision
    ),
    models: [...state.models.values()].filter((item) =>
      item.revision > afterRevision
    ),
  };
}
