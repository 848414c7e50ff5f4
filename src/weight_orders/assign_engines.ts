/** Which model each engine loads new versions of, by engine id. */
export type EngineHomes = ReadonlyMap<string, string>;

/** What an assignment goes by. */
export interface AssignmentInput {
  /** Ids of the engines that run. */
  readonly engines: readonly string[];
  /** Models that are trained. */
  readonly models: readonly string[];
  readonly before: EngineHomes;
}

function countHomes(homes: EngineHomes, model: string): number {
  return [...homes.values()].filter((home) => home === model).length;
}

function pickModel(
  homes: EngineHomes,
  models: readonly string[],
  isMost: boolean,
): string {
  const sign = isMost ? -1 : 1;
  return models.toSorted((a, b) =>
    sign * (countHomes(homes, a) - countHomes(homes, b))
  )[0] ?? "";
}

/**
 * Shares engines evenly among the trained models, so that each new version is
 * loaded by one share only. Engines keep their model while the shares differ
 * by at most one.
 *
 * @param input Engines, models and the assignment so far.
 * @returns The new assignment.
 */
export function assignEngines(input: AssignmentInput): EngineHomes {
  const { engines, models, before } = input;
  if (models.length === 0) return new Map();
  const homes = new Map<string, string>();
  for (const engine of engines) {
    const model = before.get(engine);
    if (model !== undefined && models.includes(model)) homes.set(engine, model);
  }
  for (const engine of engines.toSorted()) {
    if (!homes.has(engine)) homes.set(engine, pickModel(homes, models, false));
  }
  for (;;) {
    const most = pickModel(homes, models, true);
    const least = pickModel(homes, models, false);
    if (countHomes(homes, most) - countHomes(homes, least) < 2) return homes;
    const moved = [...homes].find(([, model]) => model === most)?.[0];
    if (moved === undefined) return homes;
    homes.set(moved, least);
  }
}
