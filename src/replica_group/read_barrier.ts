import type * as clocks from "../clock/mod.ts";
import type * as csp from "../csp/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as notLeaders from "./not_leader.ts";

/** What a read barrier asks of its replica. */
export interface BarrierReplica {
  hasAuthority(): boolean;
  /** Id of the leader, as far as this replica knows. */
  getLeader(): string | undefined;
  /** Log index up to which the replica's state holds everything. */
  getAppliedIndex(): number;
}

/** What a read barrier needs. */
export interface ReadBarrierOptions {
  readonly clock: clocks.Clock;
  /** Name of the group; it begins the name of the call. */
  readonly name: string;
  readonly replica: BarrierReplica;
  /** Woken when the replica's state changed. */
  readonly changed: csp.Signal;
  readonly peers: fleet.Peers;
  readonly server: rpc.MethodRegistry;
}

/** How far the leader's state is. */
type ReadIndexReply =
  | notLeaders.NotLeader
  | { readonly kind: "index"; readonly index: number };

/**
 * Lets a replica that does not lead answer reads as its leader would. The
 * leader, sure of its lead, tells how far its state is; once this replica has
 * applied as much, it holds all that was acknowledged before the read came.
 */
export class ReadBarrier {
  readonly #options: ReadBarrierOptions;

  constructor(options: ReadBarrierOptions) {
    this.#options = options;
    options.server.add(this.#getMethod(), () => this.#handleRequest());
  }

  /**
   * Waits until this replica may answer a read that came before the call.
   *
   * @param timeoutMs Longest wait, in ms.
   * @returns Whether it may; false where no leader answered, or where this
   * replica did not catch up in time.
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

  #getMethod(): string {
    return `${this.#options.name}.readIndex`;
  }

  #handleRequest(): ReadIndexReply {
    const { replica } = this.#options;
    return replica.hasAuthority()
      ? { kind: "index", index: replica.getAppliedIndex() }
      : { kind: "notLeader", leader: replica.getLeader() };
  }

  async #fetchReadIndex(timeoutMs: number): Promise<number | undefined> {
    const { replica, peers } = this.#options;
    const leader = replica.getLeader();
    if (leader === undefined) return undefined;
    try {
      const reply = await peers.get(leader).call<ReadIndexReply>(
        this.#getMethod(),
        {},
        timeoutMs,
      );
      return reply.kind === "index" ? reply.index : undefined;
    } catch {
      // A leader that does not answer gives no index; its caller asks elsewhere.
      return undefined;
    }
  }
}
