import * as clocks from "../clock/mod.ts";
import * as consensus from "../consensus/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import * as desks from "./founding_desk.ts";

/** Between two applications to found the set, in ms. */
const APPLY_MS = 250;
/** Time after which an unreachable seed is passed over, in ms. */
const SEED_PATIENCE_MS = 4_000;
const CALL_MS = 1_000;

/** What a founder needs; see `ReplicaGroupOptions`. */
export interface FounderOptions {
  readonly name: string;
  readonly id: string;
  readonly failureDomain: string;
  readonly dataFolder: string;
  readonly wanted: number;
  readonly least: number;
  readonly seeds: readonly string[];
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly peers: fleet.Peers;
}

/** Founds the first set of replicas together with the other boxes. */
export class Founder {
  readonly #options: FounderOptions;
  #isStopped = false;

  constructor(options: FounderOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Makes the data folder of a founding voter; others get none. */
  async found(): Promise<void> {
    const { dataFolder, id, clock, log, name } = this.#options;
    const voters = await this.#awaitFounders();
    if (voters === undefined || !voters.includes(id)) return;
    const made = await consensus.initializeDataFolder({
      folder: dataFolder,
      owner: id,
      wallMs: clock.getWallMs(),
      voters,
    });
    if (made.kind === "failure") {
      log.write("error", "group.notFounded", {
        group: name,
        message: made.failure.message,
      });
    }
  }

  /** Applies at the first seed that answers until the founders are known. */
  async #awaitFounders(): Promise<readonly string[] | undefined> {
    const { clock, seeds } = this.#options;
    const startMs = clock.getMonotonicMs();
    while (!this.#isStopped) {
      const elapsedMs = clock.getMonotonicMs() - startMs;
      const reachable = 1 + Math.floor(elapsedMs / SEED_PATIENCE_MS);
      for (const seed of seeds.slice(0, reachable)) {
        const reply = await this.#applyAt(seed);
        if (reply?.kind === "founded") return reply.voters;
        if (reply?.kind === "wait") break;
      }
      await clocks.sleep(clock, APPLY_MS);
    }
    return undefined;
  }

  async #applyAt(seed: string): Promise<desks.FoundingReply | undefined> {
    const { name, id, failureDomain, wanted, least, peers, log } =
      this.#options;
    const applicant: desks.Applicant = {
      group: name,
      id,
      failureDomain,
      wanted,
      least,
    };
    try {
      return await peers.get(seed).call<desks.FoundingReply>(
        desks.FOUNDING_METHOD,
        applicant,
        CALL_MS,
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
