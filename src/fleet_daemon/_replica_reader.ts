import type * as clocks from "../clock/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as results from "../results/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as controlHandlers from "./control_handler.ts";

/**
 * Time for which reads go to the replica that the leader named, in ms. After it
 * the leader is asked again, as the group's members may have changed.
 */
const PREFERENCE_MS = 10_000;

/** Dependencies of `ReplicaReader`. */
export interface ReplicaReaderOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly peers: fleet.Peers;
  readonly stores: replicaGroups.LeaderCaller;
  readonly failureDomain: string;
}

/** Identifies the results to read and how long to wait for them. */
export type ResultsQuery = Pick<
  submissions.ReadRequest,
  "id" | "sender" | "after" | "waitMs"
>;

/** The replica that reads go to first. */
interface PreferredReplica {
  readonly id: string;
  /** Monotonic time until which the replica is preferred, in ms. */
  readonly expiresAtMs: number;
}

/**
 * Reads results from a replica in this box's failure domain if there is one,
 * else from the leader, which reduces traffic between failure domains: results
 * are read several times, by their trainer and by others.
 */
export class ReplicaReader {
  readonly #options: ReplicaReaderOptions;
  #preferred: PreferredReplica | undefined;

  constructor(options: ReplicaReaderOptions) {
    this.#options = options;
  }

  /** Reads one page, from the leader if the preferred replica fails. */
  async read(
    query: ResultsQuery,
    timeouts: replicaGroups.CallTimeouts,
  ): Promise<results.Result<submissions.ResultPage>> {
    return await this.#readFromPreferred(query, timeouts) ??
      await this.#readFromLeader(query, timeouts);
  }

  async #readFromPreferred(
    query: ResultsQuery,
    timeouts: replicaGroups.CallTimeouts,
  ): Promise<results.Result<submissions.ResultPage> | undefined> {
    const replicaId = this.#findPreferredId();
    if (replicaId === undefined) return undefined;
    const { peers, log } = this.#options;
    try {
      const reply = await peers.get(replicaId).call<
        submissions.LeaderReply<submissions.ReadReply>
      >(
        submissions.METHODS.read,
        this.#createRequest(query, true),
        timeouts.tryMs,
      );
      if (reply.kind === "done") return results.createOk(reply.value.page);
    } catch (error) {
      log.write("info", "replica.unread", {
        peer: replicaId,
        message: (error as Error).message,
      });
    }
    this.#preferred = undefined;
    return undefined;
  }

  #findPreferredId(): string | undefined {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (this.#preferred === undefined || this.#preferred.expiresAtMs <= nowMs) {
      return undefined;
    }
    return this.#preferred.id;
  }

  async #readFromLeader(
    query: ResultsQuery,
    timeouts: replicaGroups.CallTimeouts,
  ): Promise<results.Result<submissions.ResultPage>> {
    const { clock, stores } = this.#options;
    const reply = await controlHandlers.callStoreLeader<submissions.ReadReply>(
      stores,
      {
        method: submissions.METHODS.read,
        request: this.#createRequest(query, false),
      },
      timeouts,
    );
    if (reply.kind === "failure") return reply;
    const { page, nearReplica } = reply.value;
    this.#preferred = nearReplica === undefined ? undefined : {
      id: nearReplica,
      expiresAtMs: clock.getMonotonicMs() + PREFERENCE_MS,
    };
    return results.createOk(page);
  }

  #createRequest(
    query: ResultsQuery,
    mayFollow: boolean,
  ): submissions.ReadRequest {
    const { failureDomain } = this.#options;
    return { ...query, failureDomain, mayFollow };
  }
}
