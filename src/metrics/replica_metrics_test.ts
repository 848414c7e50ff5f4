import * as chai from "chai";
import * as prometheus from "prom-client";
import * as replicaMetrics from "./replica_metrics.ts";

describe("replica metrics", () => {
  let registry = new prometheus.Registry();
  let metrics = new replicaMetrics.ReplicaMetrics(registry);

  beforeEach(() => {
    registry = new prometheus.Registry();
    metrics = new replicaMetrics.ReplicaMetrics(registry);
  });

  /** Lists the lines of the metrics text, without comments. */
  async function listValues(): Promise<readonly string[]> {
    const text = await registry.metrics();
    return text.split("\n").filter((line) =>
      line !== "" && !line.startsWith("#")
    );
  }

  it("report at the leader how many voters may be lost", async () => {
    metrics.setStatistics("stores", {
      leaderlessMs: 0,
      shortMs: 700,
      followers: { presentVoters: 2, quorum: 2, fedMs: 1_500 },
    });
    chai.expect(await listValues()).to.deep.equal([
      'hoistscale_voters_present{group="stores"} 2',
      'hoistscale_voter_losses_left{group="stores"} 0',
      'hoistscale_replica_fed_ms{group="stores"} 1500',
      'hoistscale_group_short_ms{group="stores"} 700',
      'hoistscale_leaderless_ms{group="stores"} 0',
    ]);
  });

  it("report a negative number if the leader has no quorum", async () => {
    metrics.setStatistics("stores", {
      leaderlessMs: 300,
      shortMs: 100,
      followers: { presentVoters: 1, quorum: 2, fedMs: 0 },
    });
    chai.expect(await listValues()).to.include(
      'hoistscale_voter_losses_left{group="stores"} -1',
    );
  });

  it("remove the gauges of voters when the replica stops leading", async () => {
    metrics.setStatistics("stores", {
      leaderlessMs: 0,
      shortMs: 0,
      followers: { presentVoters: 3, quorum: 2, fedMs: 0 },
    });
    metrics.setStatistics("stores", {
      leaderlessMs: 800,
      shortMs: 900,
      followers: undefined,
    });
    chai.expect(await listValues()).to.deep.equal([
      'hoistscale_leaderless_ms{group="stores"} 800',
    ]);
  });

  it("report at the leader a time short of 0, and none while it is not known", async () => {
    const followers = { presentVoters: 3, quorum: 2, fedMs: 0 };
    const line = 'hoistscale_group_short_ms{group="stores"} 0';
    const statistics = { leaderlessMs: 0, shortMs: 0, followers };
    metrics.setStatistics("stores", statistics);
    chai.expect(await listValues()).to.include(line);
    metrics.setStatistics("stores", { ...statistics, shortMs: undefined });
    const values = (await listValues()).join("\n");
    chai.expect(values).to.not.contain("hoistscale_group_short_ms");
  });

  it("count refused votes by reason", async () => {
    metrics.countRefusedVote("stores", "notAdmitted");
    metrics.countRefusedVote("stores", "notAdmitted");
    metrics.countRefusedVote("core", "logBehind");
    chai.expect(await listValues()).to.deep.equal([
      'hoistscale_votes_refused_total{group="stores",reason="notAdmitted"} 2',
      'hoistscale_votes_refused_total{group="core",reason="logBehind"} 1',
    ]);
  });
});
