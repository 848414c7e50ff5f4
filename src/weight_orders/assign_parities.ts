import type * as assignEngines from "./assign_engines.ts";

/** At which versions an engine loads a model: 0 at even ones, 1 at odd ones. */
export type VersionParity = 0 | 1;

/** Turns of the engines that share a model, by model and engine id. */
export type EngineParities = ReadonlyMap<
  string,
  ReadonlyMap<string, VersionParity>
>;

/** What turns are assigned by. */
export interface ParityInput {
  readonly models: readonly string[];
  readonly engineModels: assignEngines.EngineModels;
  readonly previous: EngineParities;
  /** Version of a model that an engine holds, as far as is known. */
  readonly getVersion: (engine: string, model: string) => number;
}

/** Version that each engine holds at its start. */
const INITIAL_VERSION = 1;

/**
 * Assigns the engines that share a model to its even and odd versions, as many
 * to the one as to the other. Engines keep their turn: one that comes or goes
 * must not make the others load the newest version all at once.
 *
 * @param input Engines, models and the turns so far.
 * @returns The new turns.
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
  { engineModels: engineModels, previous: previous, getVersion }: ParityInput,
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

/** Where nothing is known, the version that an engine holds tells its turn. */
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

function rebalanceParities(parities: Map<string, VersionParity>): void {
  const even = listEnginesOf(parities, 0);
  const odd = listEnginesOf(parities, 1);
  const surplus = Math.trunc((even.length - odd.length) / 2);
  for (const id of even.slice(0, Math.max(0, surplus))) parities.set(id, 1);
  for (const id of odd.slice(0, Math.max(0, -surplus))) parities.set(id, 0);
}
