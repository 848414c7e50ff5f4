import * as clocks from "../clock/mod.ts";
import * as consensus from "../consensus/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import * as bootstrapServices from "./bootstrap_service.ts";

/** Time between two rounds of bootstrap requests, in ms. */
const RETRY_INTERVAL_MS = 250;
/** Time after which the next seed is tried as well, in ms. */
const SEED_TIMEOUT_MS = 4_000;
/** Timeout of one bootstrap request, in ms. */
const CALL_TIMEOUT_MS = 1_000;

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
    const voters = await this.#awaitInitialVoters();
    if (voters === undefined || !voters.includes(id)) return;
    const initialized = await consensus.initializeDataFolder({
      folder: dataFolder,
      owner: id,
      wallMs: clock.getWallMs(),
      voters,
    });
    if (initialized.kind === "failure") {
      log.write("error", "group.notFounded", {
        group: name,
        message: initialized.failure.message,
      });
    }
  }

  /**
   * Sends requests until a seed names the initial voters. It begins with the
   * first seed and adds the next after each timeout, so that all boxes ask the
   * same seed if it is reachable.
   *
   * @returns Their ids, or undefined once the client is stopped.
   */
  async #awaitInitialVoters(): Promise<readonly string[] | undefined> {
    const { clock, seeds } = this.#options;
    const startMs = clock.getMonotonicMs();
    while (!this.#isStopped) {
      const elapsedMs = clock.getMonotonicMs() - startMs;
      const seedCount = 1 + Math.floor(elapsedMs / SEED_TIMEOUT_MS);
      for (const seed of seeds.slice(0, seedCount)) {
        const reply = await this.#sendRequest(seed);
        if (reply?.kind === "founded") return reply.voters;
        if (reply?.kind === "wait") break;
      }
      await clocks.sleep(clock, RETRY_INTERVAL_MS);
    }
    return undefined;
  }

  /** Asks one seed; resolves to undefined if the call fails. */
  async #sendRequest(
    seed: string,
  ): Promise<bootstrapServices.BootstrapReply | undefined> {
    const {
      name,
      id,
      failureDomain,
      maxVoters: wanted,
      minVoters: least,
      peers,
      log,
    } = this.#options;
    const request: bootstrapServices.BootstrapRequest = {
      group: name,
      id,
      failureDomain,
      wanted,
      least,
    };
    try {
      return await peers.get(seed).call<bootstrapServices.BootstrapReply>(
        bootstrapServices.BOOTSTRAP_METHOD,
        request,
        CALL_TIMEOUT_MS,
      );
    } catch (error) {
      log.write("debug", "group.seedUnreachable", {
        seed,
        message: (error as Error).message,
      });
      return undefined;
    }
  }
}
