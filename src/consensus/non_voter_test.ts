import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * A replica that does not vote reported the last leader forever, also after long
 * silence, and redirected callers to a box that no longer led.
 */

describe("non-voting replica", () => {
  it("forgets a leader that stays silent for an election timeout", () => {
    const config = { ...leaderFixtures.CONFIG, id: "d" };
    const follower = stepReplica.stepReplica(
      stepReplica.createReplica(config, stepReplica.EMPTY_REPLICA, 0),
      {
        kind: "message",
        from: "a",
        message: {
          kind: "appendRequest",
          term: 1,
          previousIndex: 0,
          previousTerm: 0,
          entries: [],
          commitIndex: 0,
          isEstablished: true,
          sentAtMs: 0,
        },
      },
      10,
    ).state;
    chai.expect(follower.role).to.deep.equal({ kind: "follower", leader: "a" });
    const laterMs = follower.electionAtMs;
    const { state } = stepReplica.stepReplica(
      follower,
      { kind: "tick" },
      laterMs,
    );
    chai.expect(state.role).to.deep.equal({ kind: "follower" });
  });
});
