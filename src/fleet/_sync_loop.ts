import * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as failureRecorders from "./failure_recorder.ts";
import * as protocol from "./protocol.ts";
import type * as peerPools from "./peer_pool.ts";

/** Interval of the exchanges that repair lost messages, in ms. */
const SYNC_INTERVAL_MS = 2_000;
/** The same while the process starts, when boxes discover each other, in ms. */
const STARTUP_SYNC_INTERVAL_MS = 500;
/** Time after the start in which the shorter interval applies, in ms. */
const STARTUP_MS = 10_000;
/** Delay after a failed exchange, in ms. */
const RETRY_DELAY_MS = 200;
/** Timeout of one exchange, in ms. */
const CALL_TIMEOUT_MS = 1_000;

/** Dependencies of a sync loop. */
export interface SyncLoopOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly failures: failureRecorders.FailureRecorder;
  readonly peers: peerPools.Peers;
  /** Returns the core box that relays to this one; undefined if there is none. */
  readonly chooseRelay: () => string | undefined;
  /** Lists the ids of all seeds and core boxes, silent ones included. */
  readonly listSourceIds: () => readonly string[];
  /** Creates a request for the given records; for all if the digests differ. */
  readonly createRequest: (ids?: readonly string[]) => protocol.SyncRequest;
  readonly onReply: (reply: protocol.SyncReply, from: string) => void;
}

/**
 * Periodically synchronizes with other boxes, alternating between the relay and
 * the next of all seeds and core boxes. Syncing with the relay alone could leave
 * the fleet split into groups that never discover each other.
 */
export class SyncLoop {
  readonly #options: SyncLoopOptions;
  readonly #fetchingFrom = new Set<string>();
  #round = 0;
  #isStopped = false;

  constructor(options: SyncLoopOptions) {
    this.#options = options;
  }

  /** Runs until stopped; failed exchanges are logged and retried. */
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

  /**
   * Fetches records from a box. Ignored while another fetch from it is running,
   * as a later refresh requests the records again.
   */
  fetch(id: string, recordIds: readonly string[]): void {
    if (this.#fetchingFrom.has(id) || this.#isStopped) return;
    this.#fetchingFrom.add(id);
    void this.#syncWith(id, recordIds).finally(() =>
      this.#fetchingFrom.delete(id)
    );
  }

  /** The relay in every other round, otherwise the next of all sources. */
  #pickTarget(): string | undefined {
    const { chooseRelay, listSourceIds } = this.#options;
    this.#round += 1;
    const relay = this.#round % 2 === 0 ? chooseRelay() : undefined;
    if (relay !== undefined) return relay;
    const sourceIds = listSourceIds();
    return sourceIds[(this.#round >> 1) % Math.max(1, sourceIds.length)];
  }

  async #syncWith(id: string, recordIds?: readonly string[]): Promise<boolean> {
    const { peers, log, createRequest } = this.#options;
    let reply: protocol.SyncReply;
    try {
      reply = await peers.get(id).call<protocol.SyncReply>(
        protocol.METHODS.sync,
        createRequest(recordIds),
        CALL_TIMEOUT_MS,
      );
    } catch (error) {
      log.write("debug", "fleet.unreachable", {
        peer: id,
        message: (error as Error).message,
      });
      return false;
    }
    this.#handleReply(reply, id);
    return true;
  }

  /** Passes a reply on; one that can't be merged does not end the loop. */
  #handleReply(reply: protocol.SyncReply, from: string): void {
    try {
      this.#options.onReply(reply, from);
    } catch (error) {
      this.#options.failures.record(protocol.METHODS.sync, error);
    }
  }
}
