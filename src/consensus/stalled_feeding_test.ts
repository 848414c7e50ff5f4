import * as chai from "chai";
import * as feedings from "./_append_window.ts";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";

/*
 * One replica is fed at a time, a voter before a spare; where the one that is fed
 * confirms nothing for a second, another one shall be fed instead. A replica that
 * waits for its turn confirms nothing either, so that it counts as standing still
 * as well, and the voter goes first again. An emptied voter that answers and
 * takes nothing in so keeps the spare, which is to take its place, empty for good.
 */

const ENTRIES = 2_000;
const EMPTIED = { incarnation: 1, isAdmitted: false };
const NOW_MS = 10_000;
const STARTED_MS = 5_000;

/** An emptied replica that answers, and was first heard or moved at a time. */
function createEmptied(
  matchIndex: number,
  movedAtMs: number,
): replicaStates.Progress {
  return {
    nextIndex: matchIndex + 1,
    matchIndex,
    lastAckedSentAtMs: NOW_MS,
    lastProgressAtMs: movedAtMs,
    identity: EMPTIED,
  };
}

describe("feeding a spare beside a voter that takes nothing in", () => {
  it("begins once the voter has stood still for long", () => {
    const leader = leaderFixtures.createLeader({
      term: 1,
      votedFor: "a",
      identity: { incarnation: 0, isAdmitted: true },
      log: replicaLogs.appendEntries(
        replicaLogs.EMPTY_LOG,
        Array.from({ length: ENTRIES }, (_, at) => ({
          index: at + 1,
          term: 1,
          command: at,
        })),
      ),
    });
    if (leader.role.kind !== "leader") throw new Error("a does not lead");
    const spare = createEmptied(0, STARTED_MS);
    const progress = new Map([
      ...leader.role.progress,
      ["b", createEmptied(100, STARTED_MS)] as const,
      ["d", spare] as const,
    ]);
    const state = {
      ...leader,
      learners: ["d"],
      role: { ...leader.role, progress },
    };
    const count = feedings.countSendable(state, "d", spare, NOW_MS);
    chai.expect(count).to.be.greaterThan(0);
  });
});
