import type * as registry from "../registry/mod.ts";
import type * as assignParities from "./assign_parities.ts";
import * as planVersion from "./plan_version.ts";

/** A load that is due at an engine. */
export interface DueLoad {
  readonly engine: registry.RegisteredServer;
  readonly model: string;
  readonly version: number;
}

/** What decides which loads are due. */
export interface DueLoadsInput {
  /** Engines that take work, those that should load first at the front. */
  readonly engines: readonly registry.RegisteredServer[];
  /** Engines that share each model, and the versions at which they load it. */
  readonly parities: assignParities.EngineParities;
  /** Newest named version of each model; 1 for a model without one. */
  readonly versions: ReadonlyMap<string, number>;
  /** Versions that the newest step of a model may lag behind, by model. */
  readonly lags: ReadonlyMap<string, number>;
  readonly getVersion: (
    engine: registry.RegisteredServer,
    model: string,
  ) => number;
}

/**
 * Lists the loads that engines lack, in the order to give them: models whose
 * next step finds the fewest engines come first, so that loads that wait for
 * one another hold up no trainer longer than the others.
 *
 * @param input Engines, their models and versions.
 * @returns Due loads, most urgent first.
 */
export function listDueLoads(input: DueLoadsInput): readonly DueLoad[] {
  const { engines, parities: parities, versions, lags, getVersion } = input;
  const models = [...lags.keys()];
  const usableCounts = new Map(
    models.map((model) => {
      const oldest = (versions.get(model) ?? 1) - (lags.get(model) ?? 0);
      const usable = engines.filter((engine) =>
        getVersion(engine, model) >= oldest
      );
      return [model, usable.length] as const;
    }),
  );
  const due = models.flatMap((model) => {
    const newest = versions.get(model) ?? 1;
    const lag = lags.get(model) ?? 0;
    return engines.filter((engine) => {
      const parity = parities.get(model)?.get(engine.id);
      if (parity === undefined) return false;
      const target = planVersion.planVersion({ newest, lag, parity: parity });
      return getVersion(engine, model) < target;
    }).map((engine): DueLoad => ({ engine, model, version: newest }));
  });
  return due.toSorted((a, b) =>
    (usableCounts.get(a.model) ?? 0) - (usableCounts.get(b.model) ?? 0)
  );
}
