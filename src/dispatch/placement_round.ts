import type * as registry from "../registry/mod.ts";
import * as chooseEngine from "./choose_engine.ts";
import type * as engineTables from "./engine_table.ts";

/** What a placement round needs. */
export interface PlacementRoundOptions {
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
}

/**
 * Finds places for many waiting items in one go. The engines of a service are
 * listed and described once, and those that may serve a need are found once a
 * need, so that a long queue costs little.
 */
export class PlacementRound {
  readonly #options: PlacementRoundOptions;
  /** Engines that had a free place at the beginning, by service. */
  readonly #availableByService = new Map<
    string,
    readonly chooseEngine.EngineCandidate[]
  >();
  /** Those that may serve a need, by service, model and oldest version. */
  readonly #eligibleByKey = new Map<
    string,
    readonly chooseEngine.EngineCandidate[]
  >();

  constructor(options: PlacementRoundOptions) {
    this.#options = options;
  }

  /** Whether any engine of the service has a free place. */
  hasFreeSlot(service: string): boolean {
    return this.#listAvailable(service).some(({ engine, runCount: runCount }) =>
      runCount < engine.slots
    );
  }

  /**
   * Picks an engine for an item; the caller begins the run at once.
   *
   * @param targetEngine Engine to take if it still can.
   * @returns The engine, or undefined when none has a place for it.
   */
  reserveSlot(
    service: string,
    requirements: chooseEngine.EngineRequirements,
    targetEngine?: registry.LifetimeKey,
  ): registry.RegisteredServer | undefined {
    const eligible = this.#listEligible(service, requirements);
    const preferred = targetEngine === undefined
      ? undefined
      : eligible.find(({ engine, runCount: runCount }) =>
        engine.lifetime === targetEngine && runCount < engine.slots
      );
    const chosen = preferred ??
      chooseEngine.pickEngine(eligible, requirements.avoided);
    if (chosen === undefined) return undefined;
    chosen.runCount += 1;
    return chosen.engine;
  }

  #listAvailable(service: string): readonly chooseEngine.EngineCandidate[] {
    const { servers, engines } = this.#options;
    const cached = this.#availableByService.get(service);
    if (cached !== undefined) return cached;
    const available = servers.listReady(service)
      .filter((engine) => engines.getRunCount(engine.lifetime) < engine.slots)
      .map((engine) => chooseEngine.createCandidate(engine, engines));
    this.#availableByService.set(service, available);
    return available;
  }

  /** Engines for a need; full ones are dropped when none has a place. */
  #listEligible(
    service: string,
    requirements: chooseEngine.EngineRequirements,
  ): readonly chooseEngine.EngineCandidate[] {
    const { engines } = this.#options;
    const key = `${service} ${
      requirements.model ?? ""
    } ${requirements.minimumVersion}`;
    const candidates = this.#eligibleByKey.get(key) ??
      this.#listAvailable(service).filter(({ engine }) =>
        chooseEngine.isEligible(engine, engines, requirements)
      );
    const isFull = candidates.every(({ engine, runCount: runCount }) =>
      runCount >= engine.slots
    );
    const eligible = isFull ? [] : candidates;
    this.#eligibleByKey.set(key, eligible);
    return eligible;
  }
}
