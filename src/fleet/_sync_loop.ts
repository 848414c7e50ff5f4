import * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import * as protocol from "./protocol.ts";
import type * as peerPools from "./peer_pool.ts";

/** Between two exchanges, which repair whatever was lost, in ms. */
const SYNC_INTERVAL_MS = 2_000;
/** The same in the first while of a process, when boxes find each other. */
const STARTUP_SYNC_INTERVAL_MS = 500;
const STARTUP_MS = 10_000;
/** Between two tries to reach a seed, in ms. */
const RETRY_DELAY_MS = 200;
/** Longest wait for the answer to one exchange, in ms. */
const CALL_TIMEOUT_MS = 1_000;

/** What a sync loop needs. */
export interface SyncLoopOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly peers: peerPools.Peers;
  /** Core box that tells this one of the others; undefined while none does. */
  readonly chooseRelay: () => string | undefined;
  /** Ids of all seeds and core boxes, silent ones too. */
  readonly listSourceIds: () => readonly string[];
  /** Makes the request for the named records, or for all that differs. */
  readonly createRequest: (ids?: readonly string[]) => protocol.SyncRequest;
  readonly onReply: (reply: protocol.SyncReply, from: string) => void;
}

/**
 * Exchanges what differs, again and again: with the relay in turn with each of
 * the seeds and core boxes. Boxes that only asked their relay could stay two
 * groups that know nothing of each other.
 */
export class SyncLoop {
  readonly #options: SyncLoopOptions;
  readonly #fetchingFrom = new Set<string>();
  #round = 0;
  #isStopped = false;

  constructor(options: SyncLoopOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    const { clock } = this.#options;
    const startupEndMs = clock.getMonotonicMs() + STARTUP_MS;
    while (!this.#isStopped) {
      const target = this.#pickTarget();
      const isSynced = target !== undefined && await this.#syncWith(target);
      const isStarted = clock.getMonotonicMs() > startupEndMs;
      const intervalMs = isStarted
        ? SYNC_INTERVAL_MS
        : STARTUP_SYNC_INTERVAL_MS;
      await clocks.sleep(clock, isSynced ? intervalMs : RETRY_DELAY_MS);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Asks a box for some records; one question to it at a time. */
  fetch(id: string, recordIds: readonly string[]): void {
    if (this.#fetchingFrom.has(id) || this.#isStopped) return;
    this.#fetchingFrom.add(id);
    void this.#syncWith(id, recordIds).finally(() =>
      this.#fetchingFrom.delete(id)
    );
  }

  /** The relay every other time, else the next of all sources. */
  #pickTarget(): string | undefined {
    const { chooseRelay, listSourceIds: listSourceIds } = this.#options;
    this.#round += 1;
    const relay = this.#round % 2 === 0 ? chooseRelay() : undefined;
    if (relay !== undefined) return relay;
    const sourceIds = listSourceIds();
    return sourceIds[(this.#round >> 1) % Math.max(1, sourceIds.length)];
  }

  async #syncWith(id: string, recordIds?: readonly string[]): Promise<boolean> {
    const { peers, log, createRequest, onReply } = this.#options;
    try {
      const client = peers.get(id);
      const reply = await client.call<protocol.SyncReply>(
        protocol.METHODS.sync,
        createRequest(recordIds),
        CALL_TIMEOUT_MS,
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
