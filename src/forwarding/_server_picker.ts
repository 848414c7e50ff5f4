import type * as registry from "../registry/mod.ts";
import * as chooseServer from "./choose_server.ts";
import type * as forwarderOptions from "./forwarder_options.ts";

/** Picks servers for one job, and remembers those that had or refused it. */
export class ServerPicker {
  readonly #options: forwarderOptions.ForwarderOptions;
  readonly #service: string;
  readonly #tried = new Set<registry.LifetimeKey>();
  readonly #refused = new Set<registry.LifetimeKey>();
  /** Whether the job's turn came after a wait. */
  #hasWaited = false;

  constructor(
    options: forwarderOptions.ForwarderOptions,
    service: string,
  ) {
    this.#options = options;
    this.#service = service;
  }

  /**
   * Picks a server.
   *
   * @param preferred The one that it should be; undefined for the best one.
   * @returns The server, or another one where that has gone meanwhile, or
   * undefined when there is none.
   */
  pick(
    preferred?: registry.LifetimeKey,
  ): registry.RegisteredServer | undefined {
    const options = this.#createChoiceOptions();
    const found = preferred === undefined
      ? undefined
      : options.servers.find(({ lifetime }) => lifetime === preferred);
    return found ?? chooseServer.chooseServer(options);
  }

  /** Servers that may have the job next, best first. */
  listCandidates(): readonly registry.LifetimeKey[] {
    return chooseServer.rankServers(this.#createChoiceOptions())
      .map(({ lifetime }) => lifetime);
  }

  markTried(server: registry.RegisteredServer): void {
    this.#tried.add(server.lifetime);
  }

  markRefused(server: registry.RegisteredServer): void {
    this.#refused.add(server.lifetime);
  }

  countRefusals(): number {
    return this.#refused.size;
  }

  /** Begins anew with all servers, as the job's turn has come. */
  startTurn(): void {
    this.#hasWaited = true;
    this.#refused.clear();
  }

  #createChoiceOptions(): chooseServer.ServerChoiceOptions {
    const { servers, isLoadAware: isLoadAware } = this.#options;
    return {
      ...this.#options,
      servers: servers.listReady(this.#service),
      tried: this.#tried,
      refused: this.#refused,
      avoidsFull: isLoadAware && !this.#hasWaited,
    };
  }
}
