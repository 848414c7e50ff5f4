import * as clocks from "../clock/mod.ts";
import * as consensus from "../consensus/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import * as bootstrapServices from "./bootstrap_service.ts";

/** Between two applications to found the set, in ms. */
const RETRY_INTERVAL_MS = 250;
/** Time after which an unreachable seed is passed over, in ms. */
const SEED_TIMEOUT_MS = 4_000;
const CALL_TIMEOUT_MS = 1_000;

/** What a founder needs; see `ReplicaGroupOptions`. */
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

/** Founds the first set of replicas together with the other boxes. */
export class BootstrapClient {
  readonly #options: BootstrapClientOptions;
  #isStopped = false;

  constructor(options: BootstrapClientOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Makes the data folder of a founding voter; others get none. */
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

  /** Applies at the first seed that answers until the founders are known. */
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
