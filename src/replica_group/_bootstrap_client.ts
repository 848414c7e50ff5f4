import type * as clocks from "../clock/mod.ts";
import * as consensus from "../consensus/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import * as awaitInitialVoters from "./_await_initial_voters.ts";
import * as callSeeds from "./_call_seed.ts";
import * as messages from "./founding_message.ts";

/** Options of a bootstrap client; see `ReplicaGroupOptions`. */
export interface BootstrapClientOptions {
  readonly name: string;
  readonly id: string;
  readonly failureDomain: string;
  readonly dataFolder: string;
  readonly maxVoters: number;
  readonly minVoters: number;
  readonly seeds: readonly string[];
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly peers: fleet.Peers;
}

/**
 * Asks the seeds for the initial voters of a replica group, and initializes the
 * data folder of this box if it is one of them.
 */
export class BootstrapClient {
  readonly #options: BootstrapClientOptions;
  #isStopped = false;

  constructor(options: BootstrapClientOptions) {
    this.#options = options;
  }

  /** Ends the wait for the initial voters. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Waits until the initial voters are known, and initializes the data folder
   * if this box is one of them. A failure to initialize is logged.
   */
  async initializeDataFolder(): Promise<void> {
    const { dataFolder, id, clock, log, name } = this.#options;
    const initial = await awaitInitialVoters.awaitInitialVoters({
      ...this.#options,
      ask: (seed) => this.#sendRequest(seed),
      isStopped: () => this.#isStopped,
    });
    if (initial.kind === "refused") {
      log.write("warn", "group.foundingRefused", { group: name });
    }
    if (initial.kind !== "founded" || !initial.voters.includes(id)) return;
    const initialized = await consensus.initializeDataFolder({
      folder: dataFolder,
      owner: id,
      wallMs: clock.getWallMs(),
      ...initial,
    });
    if (initialized.kind === "failure") {
      log.write("error", "group.notFounded", {
        group: name,
        message: initialized.failure.message,
      });
    }
  }

  /** Asks one seed; resolves to undefined if the call fails. */
  #sendRequest(seed: string): Promise<messages.BootstrapReply | undefined> {
    const { name, id, failureDomain, maxVoters, minVoters } = this.#options;
    const request: messages.BootstrapRequest = {
      group: name,
      id,
      failureDomain,
      wanted: maxVoters,
      least: minVoters,
    };
    return callSeeds.callSeed(this.#options, seed, {
      method: messages.BOOTSTRAP_METHOD,
      request,
    });
  }
}
