import * as immutable from "immutable";
import type * as steps from "../rollout_step/mod.ts";
import type * as replicatedStates from "./replicated_state.ts";

/** A step in a snapshot, with its collections as arrays. */
interface SavedStep extends Omit<steps.RolloutStep, "bound" | "acknowledged"> {
  readonly bound: readonly steps.Sample[];
  readonly acknowledged: readonly number[];
}

/** A map as a list of its entries. */
type SavedTable<V> = readonly (readonly [string, V])[];

/** Maps of the state that are saved entry by entry. */
type TableName =
  | "accounts"
  | "templates"
  | "roles"
  | "models"
  | "requests"
  | "claims";

type TableValue<N extends TableName> =
  replicatedStates.ReplicatedState[N] extends immutable.Map<string, infer V> ? V
    : never;

/** The replicated state as JSON values, as written to a snapshot. */
export type SavedState =
  & { readonly [N in TableName]: SavedTable<TableValue<N>> }
  & {
    readonly revision: number;
    readonly audit:
      readonly (replicatedStates.ReplicatedState["audit"] extends
        immutable.List<infer R> ? R
        : never)[];
    readonly steps: readonly SavedStep[];
  };

/**
 * Converts the state to JSON values.
 *
 * @param state The state.
 * @returns The values, to be read by {@linkcode loadState}.
 */
export function saveState(state: replicatedStates.ReplicatedState): SavedState {
  return {
    revision: state.revision,
    accounts: [...state.accounts],
    templates: [...state.templates],
    roles: [...state.roles],
    models: [...state.models],
    requests: [...state.requests],
    claims: [...state.claims],
    audit: [...state.audit],
    steps: [...state.steps.values()].map((step) => ({
      ...step,
      bound: [...step.bound.values()],
      acknowledged: [...step.acknowledged.values()],
    })),
  };
}

/**
 * Restores the state from JSON values.
 *
 * @param saved Values that {@linkcode saveState} returned.
 * @returns The state.
 */
export function loadState(saved: SavedState): replicatedStates.ReplicatedState {
  const loadedSteps = saved.steps.map((step): steps.RolloutStep => ({
    ...step,
    bound: immutable.Map(step.bound.map((sample) => [sample.slot, sample])),
    acknowledged: immutable.Set(step.acknowledged),
  }));
  return {
    revision: saved.revision,
    accounts: immutable.Map(saved.accounts),
    templates: immutable.Map(saved.templates),
    roles: immutable.Map(saved.roles),
    models: immutable.Map(saved.models),
    requests: immutable.Map(saved.requests),
    claims: immutable.Map(saved.claims),
    audit: immutable.List(saved.audit),
    steps: immutable.Map(loadedSteps.map((step) => [step.id, step])),
  };
}
