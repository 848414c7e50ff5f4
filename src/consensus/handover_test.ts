import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * A leader that is to be emptied asks to hand over at each look, and holds back
 * commands for up to half a second so that a successor gets every entry. Where none
 * gets them in that time, holding back again at once would serve nobody for as
 * long as the successor is slow.
 */

const LOOK_MS = 100;
const SPAN_MS = 10_000;

describe("a leader whose successor does not catch up", () => {
  it("holds back commands for a third of the time at most", () => {
    const leader = leaderFixtures.createLeader({
      ...stepReplica.EMPTY_REPLICA,
      term: 1,
    });
    const [entry] = [{ index: 1, term: 1, command: "x" }];
    let state: replicaStates.ReplicaState = {
      ...leader,
      log: replicaLogs.appendEntries(leader.log, [entry]),
    };
    let held = 0;
    for (let nowMs = 0; nowMs < SPAN_MS; nowMs += LOOK_MS) {
      state = stepReplica.stepReplica(state, { kind: "transfer" }, nowMs).state;
      if (replicaStates.isHandingOver(state, nowMs)) held += LOOK_MS;
    }
    chai.expect(held).to.be.greaterThan(0);
    chai.expect(held).to.be.at.most(SPAN_MS / 3);
  });
});
