import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * Replicas that lost their disks are fed one after the other, but only where the
 * log still holds what they lack: snapshots go to all of them at once, spares
 * among them. Of five voters one was emptied and another late after a restart of
 * all; snapshots of 400 parts to two spares and both voters were under way
 * together and took 2.5 s each, after which the log was cut beyond them, and 5.1 s
 * after its start the emptied voter lacked 816 entries (simulated clock, 40 ms a
 * sync, 200 commands a second).
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

describe("a leader with several replicas that need a snapshot", () => {
  it("sends one to the emptied voter, and to the spares later", () => {
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
    if (leader.role.kind !== "leader") throw new Error("a does not lead");
    const caughtUp = leader.role.progress.get("c");
    if (caughtUp === undefined) throw new Error("c is not followed");
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
