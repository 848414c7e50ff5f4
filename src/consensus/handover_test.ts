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

const INTERVAL_MS = 100;
const DURATION_MS = 10_000;

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
    let pausedMs = 0;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += INTERVAL_MS) {
      state = stepReplica.stepReplica(state, { kind: "transfer" }, nowMs).state;
      if (replicaStates.isHandingOver(state, nowMs)) pausedMs += INTERVAL_MS;
    }
    chai.expect(pausedMs).to.be.greaterThan(0);
    chai.expect(pausedMs).to.be.at.most(DURATION_MS / 3);
  });
});
