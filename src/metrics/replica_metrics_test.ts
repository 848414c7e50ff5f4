import * as chai from "chai";
import * as prometheus from "prom-client";
import * as replicaMetrics from "./replica_metrics.ts";

describe("metrics of a replica", () => {
  let registry = new prometheus.Registry();
  let metrics = new replicaMetrics.ReplicaMetrics(registry);

  beforeEach(() => {
    registry = new prometheus.Registry();
    metrics = new replicaMetrics.ReplicaMetrics(registry);
  });

  /** Lines of the served text, without comments. */
  async function listValues(): Promise<readonly string[]> {
    const text = await registry.metrics();
    return text.split("\n").filter((line) =>
      line !== "" && !line.startsWith("#")
    );
  }

  it("tell how many voters may be lost, at the leader", async () => {
    metrics.setStatistics("stores", {
      leaderlessMs: 0,
      followers: { presentVoters: 2, quorum: 2, fedMs: 1_500 },
    });
    chai.expect(await listValues()).to.deep.equal([
      'hoistscale_voters_present{group="stores"} 2',
      'hoistscale_voter_losses_left{group="stores"} 0',
      'hoistscale_replica_fed_ms{group="stores"} 1500',
      'hoistscale_leaderless_ms{group="stores"} 0',
    ]);
  });

  it("tell less than none left where the leader has no quorum", async () => {
    metrics.setStatistics("stores", {
      leaderlessMs: 300,
      followers: { presentVoters: 1, quorum: 2, fedMs: 0 },
    });
    chai.expect(await listValues()).to.include(
      'hoistscale_voter_losses_left{group="stores"} -1',
    );
  });

  it("tell nothing of voters once the lead is lost", async () => {
    metrics.setStatistics("stores", {
      leaderlessMs: 0,
      followers: { presentVoters: 3, quorum: 2, fedMs: 0 },
    });
    metrics.setStatistics("stores", {
      leaderlessMs: 800,
      followers: undefined,
    });
    chai.expect(await listValues()).to.deep.equal([
      'hoistscale_leaderless_ms{group="stores"} 800',
    ]);
  });

  it("count refused votes by their reason", async () => {
    metrics.countRefusedVote("stores", "notAdmitted");
    metrics.countRefusedVote("stores", "notAdmitted");
    metrics.countRefusedVote("core", "logBehind");
    chai.expect(await listValues()).to.deep.equal([
      'hoistscale_votes_refused_total{group="stores",reason="notAdmitted"} 2',
      'hoistscale_votes_refused_total{group="core",reason="logBehind"} 1',
    ]);
  });
});
