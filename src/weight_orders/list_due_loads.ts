import type * as registry from "../registry/mod.ts";
import type * as assignParities from "./assign_parities.ts";
import * as planVersion from "./plan_version.ts";

/** A weight version that an engine should load. */
export interface DueLoad {
  readonly engine: registry.RegisteredServer;
  readonly model: string;
  readonly version: number;
}

/** Input for listing the due loads. */
export interface DueLoadsInput {
  /** Engines that accept work, in order of preference for loading. */
  readonly engines: readonly registry.RegisteredServer[];
  /**
   * Engines that load each model, and whether they load even or odd versions.
   */
  readonly parities: assignParities.EngineParities;
  /** Newest named version, by model; a model without an entry has version 1. */
  readonly versions: ReadonlyMap<string, number>;
  /** Versions that the newest step of a model may lag behind, by model. */
  readonly lags: ReadonlyMap<string, number>;
  /** Last known version of a model on an engine. */
  readonly getVersion: (
    engine: registry.RegisteredServer,
    model: string,
  ) => number;
}

/**
 * Lists the due loads, most urgent first. A load is the more urgent, the fewer
 * engines can serve the next step of its model: since only some loads run at
 * once, no trainer should wait much longer than another.
 *
 * @param input Engines, their models and versions.
 * @returns Due loads, most urgent first.
 */
export function listDueLoads(input: DueLoadsInput): readonly DueLoad[] {
  const { engines, parities, versions, lags, getVersion } = input;
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
      const target = planVersion.planVersion({ newest, lag, parity });
      return getVersion(engine, model) < target;
    }).map((engine): DueLoad => ({ engine, model, version: newest }));
  });
  return due.toSorted((a, b) =>
    (usableCounts.get(a.model) ?? 0) - (usableCounts.get(b.model) ?? 0)
  );
}
