import * as chai from "chai";
import * as appendWindows from "./_append_window.ts";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";

/*
 * One replica at a time catches up, voters before learners. A voter that replies
 * but makes no progress must not block the learner that is to replace it.
 */

const ENTRIES = 2_000;
const UNADMITTED = { incarnation: 1, isAdmitted: false };
const NOW_MS = 10_000;
const LAST_PROGRESS_MS = 5_000;

/** Creates the progress of an unadmitted replica that still replies. */
function createUnadmitted(
  matchIndex: number,
  lastProgressAtMs: number,
): replicaStates.Progress {
  return {
    nextIndex: matchIndex + 1,
    matchIndex,
    lastAckedSentAtMs: NOW_MS,
    lastProgressAtMs,
    identity: UNADMITTED,
  };
}

describe("learner beside a voter that makes no progress", () => {
  it("starts to catch up once the voter has stalled", () => {
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
    if (leader.role.kind !== "leader") throw new Error("a is not the leader");
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
