import * as chai from "chai";
import * as appendWindows from "./_append_window.ts";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";

/*
 * One replica at a time catches up, the one with the most entries first: an emptied
 * voter must not delay a spare that can be admitted sooner. A voter that replies but
 * makes no progress must not block the learner that is to replace it. A reply that
 * comes late is no silence: replicas on slow boxes were sent nothing because what
 * they replied to was more than a second old.
 */

const ENTRIES = 2_000;
const UNADMITTED = { incarnation: 1, isAdmitted: false };
const NOW_MS = 10_000;
const LAST_PROGRESS_MS = 5_000;
/** Number of large entries at which a replica lacks few entries, but many bytes. */
const LARGE_ENTRIES = 90;
const LARGE_TEXT = "x".repeat(100 * 1024);
/** Age of what a replica on a slow box replies to, in ms. */
const LATE_MS = 1_500;

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

/** Creates leader a of voters b and c, and of learner d. */
function createLeader(
  replicas: ReadonlyMap<string, replicaStates.Progress>,
  entries: readonly replicaLogs.Entry[],
): replicaStates.ReplicaState {
  const leader = leaderFixtures.createLeader({
    term: 1,
    votedFor: "a",
    identity: { incarnation: 0, isAdmitted: true },
    log: replicaLogs.appendEntries(replicaLogs.EMPTY_LOG, entries),
  });
  if (leader.role.kind !== "leader") throw new Error("a is not the leader");
  const progress = new Map([...leader.role.progress, ...replicas]);
  return { ...leader, learners: ["d"], role: { ...leader.role, progress } };
}

function createEntries(
  count: number,
  command: unknown,
): readonly replicaLogs.Entry[] {
  return Array.from({ length: count }, (_, at) => ({
    index: at + 1,
    term: 1,
    command,
  }));
}

function countSendable(
  state: replicaStates.ReplicaState,
  id: string,
): number {
  if (state.role.kind !== "leader") throw new Error("a is not the leader");
  const progress = state.role.progress.get(id);
  if (progress === undefined) throw new Error(`${id} is not a follower`);
  return appendWindows.countSendable(state, id, progress, NOW_MS);
}

describe("replicas that catch up at the same time", () => {
  it("are fed in the order of the entries that they hold", () => {
    const state = createLeader(
      new Map([
        ["b", createUnadmitted(100, NOW_MS)],
        ["d", createUnadmitted(1_000, NOW_MS)],
      ]),
      createEntries(ENTRIES, "x"),
    );
    chai.expect(countSendable(state, "b")).to.equal(0);
    chai.expect(countSendable(state, "d")).to.be.greaterThan(0);
  });

  it("are fed one by one, also if few large entries are missing", () => {
    const state = createLeader(
      new Map([
        ["b", createUnadmitted(0, NOW_MS)],
        ["d", createUnadmitted(10, NOW_MS)],
      ]),
      createEntries(LARGE_ENTRIES, { text: LARGE_TEXT }),
    );
    chai.expect(countSendable(state, "b")).to.equal(0);
    chai.expect(countSendable(state, "d")).to.be.greaterThan(0);
  });

  it("are fed although their replies are late", () => {
    const late = {
      ...createUnadmitted(100, NOW_MS),
      lastAckedSentAtMs: NOW_MS - LATE_MS,
      lastReplyAtMs: NOW_MS,
    };
    const state = createLeader(
      new Map([["b", late]]),
      createEntries(ENTRIES, "x"),
    );
    chai.expect(countSendable(state, "b")).to.be.greaterThan(0);
  });
});

describe("learner beside a voter that makes no progress", () => {
  it("starts to catch up once the voter has stalled", () => {
    const learner = createUnadmitted(0, LAST_PROGRESS_MS);
    const state = createLeader(
      new Map([
        ["b", createUnadmitted(100, LAST_PROGRESS_MS)],
        ["d", learner],
      ]),
      createEntries(ENTRIES, "x"),
    );
    const count = appendWindows.countSendable(state, "d", learner, NOW_MS);
    chai.expect(count).to.be.greaterThan(0);
  });
});
