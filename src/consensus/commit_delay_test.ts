import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

describe("news of a commit", () => {
  it("tells followers of a commit long before the next heartbeat is due", () => {
    const config = {
      ...leaderFixtures.CONFIG,
      heartbeatMs: 90,
      electionTimeoutMs: 450,
    };
    const identity = { incarnation: 0, isAdmitted: true };
    let state: replicaStates.ReplicaState = {
      ...leaderFixtures.createLeader({
        ...stepReplica.EMPTY_REPLICA,
        term: 1,
        identity,
      }),
      config,
    };
    function step(event: replicaStates.ReplicaEvent, nowMs: number) {
      const transition = stepReplica.stepReplica(state, event, nowMs);
      state = transition.state;
      return transition.effects;
    }
    step({ kind: "propose", commands: ["x"] }, 100);
    const index = replicaLogs.getLastIndex(state.log);
    step({
      kind: "message",
      from: "b",
      message: {
        kind: "appendReply",
        term: state.term,
        isMatch: true,
        index,
        sentAtMs: 100,
        identity,
      },
    }, 102);
    chai.expect(state.commitIndex).to.equal(index);
    const sentCommitIndexes = step({ kind: "tick" }, 102 + 15).flatMap((
      effect,
    ) =>
      effect.kind === "send" && effect.message.kind === "appendRequest"
        ? [effect.message.commitIndex]
        : []
    );
    chai.expect(sentCommitIndexes).to.deep.equal([index, index]);
  });
});
