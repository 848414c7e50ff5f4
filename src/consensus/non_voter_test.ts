import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * A replica that does not vote, such as a spare that is no longer fed, named the
 * leader that it had heard last for ever, after ten minutes of silence too. It
 * steered callers to a box that did not lead, past the one that did.
 */

describe("a replica that does not vote", () => {
  it("names no leader any more, where it does not vote, once that one is silent", () => {
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
