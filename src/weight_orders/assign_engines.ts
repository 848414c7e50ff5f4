/** Models whose new versions each engine loads, by engine id. */
export type EngineModels = ReadonlyMap<string, ReadonlySet<string>>;

/** Input of an assignment of models to engines. */
export interface AssignmentInput {
  /** Ids of the running engines. */
  readonly engines: readonly string[];
  /** Number of engines that each trained model should have, by model. */
  readonly engineCounts: ReadonlyMap<string, number>;
  /** Current assignment, kept as far as possible. */
  readonly previous: EngineModels;
}

type MutableEngineModels = Map<string, Set<string>>;

/**
 * Computes how many engines should load a model. An engine has time for one
 * load per published version. Where steps may lag by one version, it loads only
 * every other version of a model and can therefore serve two models.
 *
 * @param engines Number of running engines.
 * @param models Number of models that share the engines.
 * @param lag Versions that a step of the model may lag behind the newest.
 * @returns Number of engines for the model; at least one if any engine runs.
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
 * Assigns the trained models to engines, so that each model has its number of
 * engines and the numbers of models of any two engines differ by at most one.
 * Engines keep their models as far as that allows.
 *
 * @param input Engines, models and the previous assignment.
 * @returns The new assignment.
 */
export function assignEngines(input: AssignmentInput): EngineModels {
  const { engines, engineCounts, previous } = input;
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

/**
 * Moves one model from the engine with the most models to the one with the
 * fewest; false if the assignment is balanced already.
 */
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
