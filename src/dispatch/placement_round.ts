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
  readonly #open = new Map<string, readonly chooseEngine.EngineCandidate[]>();
  /** Those that may serve a need, by service, model and oldest version. */
  readonly #able = new Map<string, readonly chooseEngine.EngineCandidate[]>();

  constructor(options: PlacementRoundOptions) {
    this.#options = options;
  }

  /** Whether any engine of the service has a free place. */
  hasPlace(service: string): boolean {
    return this.#listOpen(service).some(({ engine, running }) =>
      running < engine.slots
    );
  }

  /**
   * Picks an engine for an item; the caller begins the run at once.
   *
   * @param target Engine to take if it still can.
   * @returns The engine, or undefined when none has a place for it.
   */
  choose(
    service: string,
    need: chooseEngine.EngineNeed,
    target?: registry.LifetimeKey,
  ): registry.RegisteredServer | undefined {
    const able = this.#listAble(service, need);
    const wanted = target === undefined
      ? undefined
      : able.find(({ engine, running }) =>
        engine.lifetime === target && running < engine.slots
      );
    const chosen = wanted ?? chooseEngine.pickEngine(able, need.avoided);
    if (chosen === undefined) return undefined;
    chosen.running += 1;
    return chosen.engine;
  }

  #listOpen(service: string): readonly chooseEngine.EngineCandidate[] {
    const { servers, engines } = this.#options;
    const known = this.#open.get(service);
    if (known !== undefined) return known;
    const open = servers.listReady(service)
      .filter((engine) => engines.getRunning(engine.lifetime) < engine.slots)
      .map((engine) => chooseEngine.createCandidate(engine, engines));
    this.#open.set(service, open);
    return open;
  }

  /** Engines for a need; full ones are dropped when none has a place. */
  #listAble(
    service: string,
    need: chooseEngine.EngineNeed,
  ): readonly chooseEngine.EngineCandidate[] {
    const { engines } = this.#options;
    const key = `${service} ${need.model ?? ""} ${need.minimumVersion}`;
    const known = this.#able.get(key) ??
      this.#listOpen(service).filter(({ engine }) =>
        chooseEngine.canServe(engine, engines, need)
      );
    const isFull = known.every(({ engine, running }) =>
      running >= engine.slots
    );
    const able = isFull ? [] : known;
    this.#able.set(key, able);
    return able;
  }
}
