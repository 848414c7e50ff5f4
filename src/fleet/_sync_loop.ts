import * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as boxRecords from "./box_record.ts";
import * as news from "./news.ts";
import type * as peerPools from "./peer_pool.ts";

/** Between two full exchanges, which repair whatever was lost, in ms. */
const SYNC_MS = 4_000;
/** Between two tries to reach a seed, in ms. */
const SEED_RETRY_MS = 200;
/** Longest wait for the answer to one exchange, in ms. */
const CALL_MS = 1_000;

/** What a sync loop needs. */
export interface SyncLoopOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly peers: peerPools.Peers;
  /** Ids of the boxes to ask while no core box is known. */
  readonly seeds: readonly string[];
  readonly chooseRelay: () => string | undefined;
  readonly getOwn: () => boxRecords.BoxRecord;
  readonly onReply: (reply: news.SyncReply, from: string) => void;
}

/** Exchanges everything with a core box, or a seed, again and again. */
export class SyncLoop {
  readonly #options: SyncLoopOptions;
  readonly #fetching = new Set<string>();
  #turn = 0;
  #isStopped = false;

  constructor(options: SyncLoopOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    const { clock, chooseRelay } = this.#options;
    while (!this.#isStopped) {
      const relay = chooseRelay();
      const target = relay ?? this.#pickSeed();
      const isDone = target !== undefined && await this.#syncWith(target);
      const isSettled = isDone && relay !== undefined;
      await clocks.sleep(clock, isSettled ? SYNC_MS : SEED_RETRY_MS);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Asks a box for everything, soon; one question at a time. */
  fetch(id: string): void {
    if (this.#fetching.has(id) || this.#isStopped) return;
    this.#fetching.add(id);
    void this.#syncWith(id).finally(() => this.#fetching.delete(id));
  }

  #pickSeed(): string | undefined {
    const { seeds, getOwn } = this.#options;
    const others = seeds.filter((id) => id !== getOwn().id);
    this.#turn += 1;
    return others[this.#turn % Math.max(1, others.length)];
  }

  async #syncWith(id: string): Promise<boolean> {
    const { peers, log, getOwn, onReply } = this.#options;
    try {
      const request: news.SyncRequest = { record: getOwn() };
      const client = peers.get(id);
      const reply = await client.call<news.SyncReply>(
        news.METHODS.sync,
        request,
        CALL_MS,
      );
      onReply(reply, id);
      return true;
    } catch (error) {
      log.write("debug", "fleet.unreachable", {
        peer: id,
        message: (error as Error).message,
      });
      return false;
    }
  }
}
