import * as chai from "chai";
import * as appendWindows from "./_append_window.ts";
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
const UNADMITTED = { incarnation: 1, isAdmitted: false };
const NOW_MS = 10_000;
const LAST_PROGRESS_MS = 5_000;

/** An emptied replica that answers, and was first heard or moved at a time. */
function createUnadmitted(
  matchIndex: number,
  lastProgressAtMs: number,
): replicaStates.Progress {
  return {
    nextIndex: matchIndex + 1,
    matchIndex,
    lastAckedSentAtMs: NOW_MS,
    lastProgressAtMs: lastProgressAtMs,
    identity: UNADMITTED,
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
    const learner = createUnadmitted(0, LAST_PROGRESS_MS);
    const progress = new Map([
      ...leader.role.progress,
      ["b", createUnadmitted(100, LAST_PROGRESS_MS)] as const,
      ["d", learner] as const,
    ]);
    const state = {
      ...leader,
      learners: ["d"],
      role: { ...leader.role, progress },
    };
    const count = appendWindows.countSendable(state, "d", learner, NOW_MS);
    chai.expect(count).to.be.greaterThan(0);
  });
});
