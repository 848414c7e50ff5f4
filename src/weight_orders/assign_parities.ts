import type * as assignEngines from "./assign_engines.ts";

/** Versions of a model that an engine loads: 0 for even, 1 for odd versions. */
export type VersionParity = 0 | 1;

/** Parity of each engine that loads a model, by model and engine id. */
export type EngineParities = ReadonlyMap<
  string,
  ReadonlyMap<string, VersionParity>
>;

/** Input of an assignment of parities. */
export interface ParityInput {
  readonly models: readonly string[];
  /** Models that each engine loads. */
  readonly engineModels: assignEngines.EngineModels;
  /** Current assignment, kept as far as possible. */
  readonly previous: EngineParities;
  /** Last known version of a model on an engine. */
  readonly getVersion: (engine: string, model: string) => number;
}

/** Version that every engine holds when it starts. */
const INITIAL_VERSION = 1;

/**
 * Assigns the engines of each model to its even or odd versions, half to each.
 * Engines keep their parity where possible: if one joining or leaving engine
 * changed the parity of the others, these would all load the newest version at
 * once.
 *
 * @param input Engines, models and the previous assignment.
 * @returns The new assignment.
 */
export function assignParities(input: ParityInput): EngineParities {
  return new Map(
    input.models.map((model) =>
      [model, assignModelParities(model, input)] as const
    ),
  );
}

function assignModelParities(
  model: string,
  { engineModels, previous, getVersion }: ParityInput,
): ReadonlyMap<string, VersionParity> {
  const engineIds = [...engineModels].filter(([, models]) => models.has(model))
    .map(([id]) => id).toSorted();
  const parities = new Map<string, VersionParity>();
  for (const id of engineIds) {
    const known = previous.get(model)?.get(id) ??
      deriveParity(getVersion(id, model));
    if (known !== undefined) parities.set(id, known);
  }
  for (const id of engineIds) {
    if (!parities.has(id)) parities.set(id, pickRarerParity(parities));
  }
  rebalanceParities(parities);
  return parities;
}

/**
 * Derives the parity from the loaded version; undefined for the initial one.
 */
function deriveParity(version: number): VersionParity | undefined {
  if (version <= INITIAL_VERSION) return undefined;
  return version % 2 === 0 ? 0 : 1;
}

function listEnginesOf(
  parities: ReadonlyMap<string, VersionParity>,
  parity: VersionParity,
): readonly string[] {
  return [...parities].filter(([, other]) => other === parity).map(([id]) =>
    id
  );
}

function pickRarerParity(
  parities: ReadonlyMap<string, VersionParity>,
): VersionParity {
  return listEnginesOf(parities, 1).length < listEnginesOf(parities, 0).length
    ? 1
    : 0;
}

/**
 * Moves engines from the larger group, so that the sizes differ by at most one.
 */
function rebalanceParities(parities: Map<string, VersionParity>): void {
  const even = listEnginesOf(parities, 0);
  const odd = listEnginesOf(parities, 1);
  const surplus = Math.trunc((even.length - odd.length) / 2);
  for (const id of even.slice(0, Math.max(0, surplus))) parities.set(id, 1);
  for (const id of odd.slice(0, Math.max(0, -surplus))) parities.set(id, 0);
}
