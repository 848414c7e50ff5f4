import * as prometheus from "prom-client";

/** Statistics of a replica. */
export interface ReplicaStatistics {
  /** Time since the replica knew a leader with authority, in ms. */
  readonly leaderlessMs: number;
  /**
   * Time for which the group is known not to bear the losses that it should, in
   * ms; undefined if that is not known.
   */
  readonly shortMs: number | undefined;
  /** Statistics of the followers; undefined unless the replica leads. */
  readonly followers: FollowerStatistics | undefined;
}

/** Statistics that a leader has of its followers. */
export interface FollowerStatistics {
  /** Voters that respond and count towards a quorum, including the leader. */
  readonly presentVoters: number;
  readonly quorum: number;
  /** Longest time for which a follower has been catching up, in ms. */
  readonly fedMs: number;
}

/** Metrics of the replica groups of a box. */
export class ReplicaMetrics {
  readonly #presentVoters: prometheus.Gauge<"group">;
  readonly #lossesLeft: prometheus.Gauge<"group">;
  readonly #fedMs: prometheus.Gauge<"group">;
  readonly #shortMs: prometheus.Gauge<"group">;
  readonly #leaderlessMs: prometheus.Gauge<"group">;
  readonly #refusedVotes: prometheus.Counter<"group" | "reason">;

  constructor(registry: prometheus.Registry) {
    const registers = [registry];
    this.#presentVoters = new prometheus.Gauge({
      name: "hoistscale_voters_present",
      help: "Voters that answer the leader and count; at the leader only",
      labelNames: ["group"],
      registers,
    });
    this.#lossesLeft = new prometheus.Gauge({
      name: "hoistscale_voter_losses_left",
      help: "Present voters that may be lost before no quorum is left",
      labelNames: ["group"],
      registers,
    });
    this.#fedMs = new prometheus.Gauge({
      name: "hoistscale_replica_fed_ms",
      help: "Time for which the leader has fed a replica that does not count",
      labelNames: ["group"],
      registers,
    });
    this.#shortMs = new prometheus.Gauge({
      name: "hoistscale_group_short_ms",
      help: "Time for which the group has not borne the next lost disks",
      labelNames: ["group"],
      registers,
    });
    this.#leaderlessMs = new prometheus.Gauge({
      name: "hoistscale_leaderless_ms",
      help: "Time since this replica knew a leader that may act",
      labelNames: ["group"],
      registers,
    });
    this.#refusedVotes = new prometheus.Counter({
      name: "hoistscale_votes_refused_total",
      help: "Votes refused to this replica, by reason",
      labelNames: ["group", "reason"],
      registers,
    });
  }

  /** Sets the gauges of a group; removes those of the leader on a follower. */
  setStatistics(group: string, statistics: ReplicaStatistics): void {
    const { leaderlessMs, shortMs, followers } = statistics;
    this.#leaderlessMs.set({ group }, leaderlessMs);
    if (followers === undefined || shortMs === undefined) {
      this.#shortMs.remove({ group });
    } else this.#shortMs.set({ group }, shortMs);
    if (followers === undefined) {
      this.#presentVoters.remove({ group });
      this.#lossesLeft.remove({ group });
      this.#fedMs.remove({ group });
      return;
    }
    const { presentVoters, quorum, fedMs } = followers;
    this.#presentVoters.set({ group }, presentVoters);
    this.#lossesLeft.set({ group }, presentVoters - quorum);
    this.#fedMs.set({ group }, fedMs);
  }

  countRefusedVote(group: string, reason: string): void {
    this.#refusedVotes.inc({ group, reason });
  }
}
