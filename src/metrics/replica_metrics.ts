import * as prometheus from "prom-client";

/** What a replica tells of its group. */
export interface ReplicaStatistics {
  /** Time since a leader that may act was known, in ms. */
  readonly leaderlessMs: number;
  /** What a leader knows of its followers; undefined without the lead. */
  readonly followers: FollowerStatistics | undefined;
}

/** What a leader tells of its followers. */
export interface FollowerStatistics {
  /** Voters that answer and count in a quorum, the leader among them. */
  readonly presentVoters: number;
  readonly quorum: number;
  /** How long the follower that is fed longest has not counted, in ms. */
  readonly fedMs: number;
}

/** Figures of the replica groups that a box takes part in. */
export class ReplicaMetrics {
  readonly #presentVoters: prometheus.Gauge<"group">;
  readonly #lossesLeft: prometheus.Gauge<"group">;
  readonly #fedMs: prometheus.Gauge<"group">;
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

  /** Sets what a replica tells now; what only a leader tells goes with the lead. */
  setStatistics(group: string, statistics: ReplicaStatistics): void {
    const { leaderlessMs, followers } = statistics;
    this.#leaderlessMs.set({ group }, leaderlessMs);
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
