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
 * listed once, full ones are left out as they fill up, and a need that found no
 * place is not tried again, so a long queue costs little while engines are full.
 */
export class PlacementRound {
  readonly #options: PlacementRoundOptions;
  /** Engines with a free place, by service. */
  readonly #open = new Map<string, readonly registry.RegisteredServer[]>();
  /** Needs for which no engine has a place in this round. */
  readonly #hopeless = new Set<string>();

  constructor(options: PlacementRoundOptions) {
    this.#options = options;
  }

  /** Whether any engine of the service had a free place at the last look. */
  hasPlace(service: string): boolean {
    return this.#getOpen(service).length > 0;
  }

  /**
   * Picks an engine for an item; the caller begins the run at once, so that
   * the engine's place counts as taken.
   *
   * @param target Engine to take if it still can.
   * @returns The engine, or undefined when none has a place for it.
   */
  choose(
    service: string,
    need: chooseEngine.EngineNeed,
    target?: string,
  ): registry.RegisteredServer | undefined {
    const key = `${service} ${need.model ?? ""} ${need.minimumVersion}`;
    if (this.#hopeless.has(key)) return undefined;
    const open = this.#setOpen(service, this.#getOpen(service));
    const wanted = open.find((other) => other.id === target);
    if (
      wanted !== undefined &&
      chooseEngine.canTake(wanted, this.#options.engines, need)
    ) return wanted;
    const engine = chooseEngine.chooseEngine(open, this.#options.engines, need);
    if (engine === undefined) this.#hopeless.add(key);
    return engine;
  }

  #getOpen(service: string): readonly registry.RegisteredServer[] {
    const { servers } = this.#options;
    return this.#open.get(service) ??
      this.#setOpen(service, servers.listReady(service));
  }

  /** Notes which of the listed engines have a free place now. */
  #setOpen(
    service: string,
    listed: readonly registry.RegisteredServer[],
  ): readonly registry.RegisteredServer[] {
    const { engines } = this.#options;
    const open = listed.filter((engine) =>
      engines.getRunning(engine.id) < engine.slots
    );
    this.#open.set(service, open);
    return open;
  }
}
