import type * as registry from "../registry/mod.ts";
import * as chooseServer from "./choose_server.ts";
import type * as forwarderOptions from "./forwarder_options.ts";

/** Chooses servers for one job; tracks which were tried and which refused. */
export class ServerPicker {
  readonly #options: forwarderOptions.ForwarderOptions;
  readonly #service: string;
  readonly #tried = new Set<registry.LifetimeKey>();
  readonly #refused = new Set<registry.LifetimeKey>();
  /** Whether the job was queued and its turn has come. */
  #hasWaited = false;

  constructor(
    options: forwarderOptions.ForwarderOptions,
    service: string,
  ) {
    this.#options = options;
    this.#service = service;
  }

  /**
   * Picks a server for the next attempt.
   *
   * @param preferred Server to use if it is ready; undefined for the best one.
   * @returns The preferred or else the best server; undefined if there is none.
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

  /** Lists the servers that may run the job next, best first. */
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

  /** Makes all servers eligible again, including those marked as full. */
  startTurn(): void {
    this.#hasWaited = true;
    this.#refused.clear();
  }

  #createChoiceOptions(): chooseServer.ServerChoiceOptions {
    const { servers, isLoadAware } = this.#options;
    return {
      ...this.#options,
      servers: servers.listReady(this.#service),
      tried: this.#tried,
      refused: this.#refused,
      avoidsFull: isLoadAware && !this.#hasWaited,
    };
  }
}
