/** Which models each engine loads new versions of, by engine id. */
export type EngineModels = ReadonlyMap<string, ReadonlySet<string>>;

/** What an assignment goes by. */
export interface AssignmentInput {
  /** Ids of the engines that run. */
  readonly engines: readonly string[];
  /** Engines that each trained model should have, by model. */
  readonly engineCounts: ReadonlyMap<string, number>;
  readonly previous: EngineModels;
}

type MutableEngineModels = Map<string, Set<string>>;

/**
 * Tells how many engines should load a model. Each engine has time for one
 * load a version period. Where steps may lag by a version, an engine loads
 * every other version only, so it can serve two models in the same time, and
 * each step finds twice the places.
 *
 * @param engines How many engines run.
 * @param models How many models share them.
 * @param lag Versions that a step of the model may lag behind the newest.
 * @returns Engines for the model, one at least.
 */
export function countDesiredEngines(
  engines: number,
  models: number,
  lag: number,
): number {
  const modelsPerEngine = lag < 1 ? 1 : 2;
  const share = Math.round((engines * modelsPerEngine) / Math.max(1, models));
  return Math.min(engines, Math.max(1, share));
}

/**
 * Assigns engines to the trained models, so that each model has as many as it
 * wants and no engine has two models more than another. Engines keep their
 * models as far as that allows.
 *
 * @param input Engines, models and the assignment so far.
 * @returns The new assignment.
 */
export function assignEngines(input: AssignmentInput): EngineModels {
  const { engines, engineCounts: engineCounts, previous: previous } = input;
  const assignment: MutableEngineModels = new Map(
    engines.toSorted().map((engine) => [
      engine,
      new Set(
        [...previous.get(engine) ?? []].filter((model) =>
          engineCounts.has(model)
        ),
      ),
    ]),
  );
  for (const [model, count] of engineCounts) {
    setEngineCount(assignment, model, count);
  }
  while (moveOneModel(assignment));
  return assignment;
}

function setEngineCount(
  assignment: MutableEngineModels,
  model: string,
  count: number,
): void {
  const assigned = sortByModelCount(assignment).filter(([, models]) =>
    models.has(model)
  );
  for (const [, models] of assigned.slice(count)) models.delete(model);
  const unassigned = sortByModelCount(assignment).filter(([, models]) =>
    !models.has(model)
  );
  for (
    const [, models] of unassigned.slice(
      0,
      Math.max(0, count - assigned.length),
    )
  ) {
    models.add(model);
  }
}

/** Moves a model from the engine with most to the one with fewest models. */
function moveOneModel(assignment: MutableEngineModels): boolean {
  const sorted = sortByModelCount(assignment);
  const least = sorted.at(0)?.[1];
  const most = sorted.at(-1)?.[1];
  if (least === undefined || most === undefined) return false;
  if (most.size - least.size < 2) return false;
  const model = [...most].find((other) => !least.has(other));
  if (model === undefined) return false;
  most.delete(model);
  least.add(model);
  return true;
}

function sortByModelCount(
  assignment: MutableEngineModels,
): readonly (readonly [string, Set<string>])[] {
  return [...assignment].toSorted(([, a], [, b]) => a.size - b.size);
}
