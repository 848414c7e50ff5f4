import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * Snapshots sent to all unadmitted replicas at once took so long that the log was
 * compacted past them meanwhile, and a wiped voter fell behind again.
 */

const SNAPSHOT_INDEX = 1_000;
const NOW_MS = 10_000;

const UNADMITTED: replicaStates.Progress = {
  nextIndex: 1,
  matchIndex: 0,
  lastAckedSentAtMs: NOW_MS,
  lastProgressAtMs: NOW_MS,
  identity: { incarnation: 1, isAdmitted: false },
};

describe("leader with several replicas that need a snapshot", () => {
  it("sends one to the unadmitted voter before the learners", () => {
    const leader = leaderFixtures.createLeader({
      term: 1,
      votedFor: "a",
      identity: { incarnation: 0, isAdmitted: true },
      log: replicaLogs.createLog({
        index: SNAPSHOT_INDEX,
        term: 1,
        state: [],
        voters: ["a", "b", "c"],
      }),
    });
    if (leader.role.kind !== "leader") throw new Error("a is not the leader");
    const caughtUp = leader.role.progress.get("c");
    if (caughtUp === undefined) throw new Error("c is not a follower");
    const progress = new Map([
      ["c", { ...caughtUp, lastAckedSentAtMs: NOW_MS }] as const,
      ["b", UNADMITTED] as const,
      ["d", UNADMITTED] as const,
      ["e", UNADMITTED] as const,
    ]);
    const state = {
      ...leader,
      learners: ["d", "e"],
      role: { ...leader.role, progress },
    };
    const { effects } = stepReplica.stepReplica(
      state,
      { kind: "tick" },
      NOW_MS,
    );
    const targets = effects.flatMap((effect) =>
      effect.kind === "sendSnapshot" ? [effect.to] : []
    );
    chai.expect(targets).to.deep.equal(["b"]);
  });
});
