import type * as registry from "../registry/mod.ts";
import * as chooseEngine from "./choose_engine.ts";
import type * as engineTables from "./engine_table.ts";

/** Options of a placement round. */
export interface PlacementRoundOptions {
  readonly servers: Pick<registry.ServerRegistry, "listReady">;
  readonly engines: engineTables.EngineTable;
}

/**
 * Assigns many waiting items to engines in one pass. Engines are listed once per
 * service and filtered once per set of requirements, so that a long queue is
 * processed cheaply. Use a new instance for each pass.
 */
export class PlacementRound {
  readonly #options: PlacementRoundOptions;
  /** Engines that had a free slot when they were listed, by service. */
  readonly #availableByService = new Map<
    string,
    readonly chooseEngine.EngineCandidate[]
  >();
  /** Eligible engines, by service, model and minimum version. */
  readonly #eligibleByKey = new Map<
    string,
    readonly chooseEngine.EngineCandidate[]
  >();

  constructor(options: PlacementRoundOptions) {
    this.#options = options;
  }

  /** Tells whether any engine of the service has a free slot. */
  hasFreeSlot(service: string): boolean {
    return this.#listAvailable(service).some(({ engine, runCount }) =>
      runCount < engine.slots
    );
  }

  /**
   * Picks an engine for an item and counts the slot as used. The caller must
   * start the run at once.
   *
   * @param service Service of the item.
   * @param requirements Requirements of the item.
   * @param targetEngine Engine to prefer if it is eligible and has a free slot.
   * @param excluded Engines that must not be used.
   * @returns The engine, or undefined when no eligible one has a free slot.
   */
  reserveSlot(
    service: string,
    requirements: chooseEngine.EngineRequirements,
    targetEngine?: registry.LifetimeKey,
    excluded: ReadonlySet<registry.LifetimeKey> = new Set(),
  ): registry.RegisteredServer | undefined {
    const all = this.#listEligible(service, requirements);
    const eligible = excluded.size === 0
      ? all
      : all.filter(({ engine }) => !excluded.has(engine.lifetime));
    const preferred = targetEngine === undefined
      ? undefined
      : eligible.find(({ engine, runCount }) =>
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

  /** Lists eligible engines; none once all of them are full. */
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
    const isFull = candidates.every(({ engine, runCount }) =>
      runCount >= engine.slots
    );
    const eligible = isFull ? [] : candidates;
    this.#eligibleByKey.set(key, eligible);
    return eligible;
  }
}
