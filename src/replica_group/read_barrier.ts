import type * as clocks from "../clock/mod.ts";
import type * as csp from "../csp/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as notLeaders from "./not_leader.ts";

/** The part of a replica that a read barrier uses. */
export interface BarrierReplica {
  /** Whether this replica is the leader and holds a lease. */
  hasAuthority(): boolean;
  /** Returns the id of the leader that this replica knows, if any. */
  getLeader(): string | undefined;
  /** Returns the index of the last log entry applied to the state. */
  getAppliedIndex(): number;
}

/** Options of a read barrier. */
export interface ReadBarrierOptions {
  readonly clock: clocks.Clock;
  /** Name of the group; prefix of the RPC method. */
  readonly name: string;
  readonly replica: BarrierReplica;
  /** Notified when the replica's state has changed. */
  readonly changed: csp.Signal;
  readonly peers: fleet.Peers;
  readonly server: rpc.MethodRegistry;
}

/** The leader's applied index, or that the replica is not the leader. */
type ReadIndexReply =
  | notLeaders.NotLeader
  | { readonly kind: "index"; readonly index: number };

/** Returns the method that tells a leader's applied index and changes nothing. */
export function getReadIndexMethod(group: string): string {
  return `${group}.readIndex`;
}

/**
 * Provides linearizable reads on followers. A follower asks the leader, which
 * answers only under its lease, for its applied index. Once the follower has
 * applied that entry, its state includes every change that was acknowledged
 * before the read.
 */
export class ReadBarrier {
  readonly #options: ReadBarrierOptions;

  constructor(options: ReadBarrierOptions) {
    this.#options = options;
    options.server.add(
      getReadIndexMethod(options.name),
      () => this.#handleRequest(),
    );
  }

  /**
   * Waits until this replica can answer a read that arrived before the call.
   *
   * @param timeoutMs Longest wait, in ms.
   * @returns Whether it can; false if no leader answered, or if this replica did
   * not catch up in time.
   */
  async awaitLeaderState(timeoutMs: number): Promise<boolean> {
    const { clock, replica, changed } = this.#options;
    const deadlineMs = clock.getMonotonicMs() + timeoutMs;
    const index = await this.#fetchReadIndex(timeoutMs);
    if (index === undefined) return false;
    while (replica.getAppliedIndex() < index) {
      const remainingMs = deadlineMs - clock.getMonotonicMs();
      if (remainingMs <= 0) return false;
      await changed.wait(clock, remainingMs);
    }
    return true;
  }

  #handleRequest(): ReadIndexReply {
    const { replica } = this.#options;
    return replica.hasAuthority()
      ? { kind: "index", index: replica.getAppliedIndex() }
      : { kind: "notLeader", leader: replica.getLeader() };
  }

  /** Asks the leader for its applied index; undefined if it does not answer. */
  async #fetchReadIndex(timeoutMs: number): Promise<number | undefined> {
    const { replica, peers, name } = this.#options;
    const leader = replica.getLeader();
    if (leader === undefined) return undefined;
    try {
      const reply = await peers.get(leader).call<ReadIndexReply>(
        getReadIndexMethod(name),
        {},
        timeoutMs,
      );
      return reply.kind === "index" ? reply.index : undefined;
    } catch {
      // Without an index the barrier fails, and the caller asks another replica.
      return undefined;
    }
  }
}
