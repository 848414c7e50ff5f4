import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * A new leader did not know how far a replica was that had lost its disk: it sent
 * entries only after a heartbeat and a second round trip. On slow boxes, where a
 * leader lasts half a second, that took up most of each leader's time.
 */

const ENTRIES = 900;
const HELD_ENTRIES = 500;
const TERM = 3;
const NOW_MS = 1_000;
const UNADMITTED = { incarnation: 1, isAdmitted: false };

function createLog(count: number, lastTerm: number): replicaLogs.ReplicaLog {
  return replicaLogs.appendEntries(
    replicaLogs.EMPTY_LOG,
    Array.from({ length: count }, (_, at) => ({
      index: at + 1,
      term: at + 1 < count ? 1 : lastTerm,
      command: at,
    })),
  );
}

/** Creates a new leader that has heard nothing of replica b yet. */
function createNewLeader(): replicaStates.ReplicaState {
  const leader = leaderFixtures.createLeader({
    term: TERM,
    votedFor: "a",
    identity: { incarnation: 0, isAdmitted: true },
    log: createLog(ENTRIES, 1),
  });
  if (leader.role.kind !== "leader") throw new Error("a is not the leader");
  const progress = new Map([
    ...leader.role.progress,
    ["b", replicaStates.createProgress(ENTRIES + 1)] as const,
  ]);
  return { ...leader, role: { ...leader.role, progress } };
}

/** Passes the leader's first message to replica b and returns its reply. */
function rejectFirstMessage(log: replicaLogs.ReplicaLog): messages.AppendReply {
  const follower = stepReplica.createReplica(
    { ...leaderFixtures.CONFIG, id: "b" },
    { term: TERM, votedFor: undefined, identity: UNADMITTED, log },
    0,
  );
  const request: messages.AppendRequest = {
    kind: "appendRequest",
    term: TERM,
    previousIndex: ENTRIES,
    previousTerm: 1,
    entries: [],
    commitIndex: ENTRIES,
    isEstablished: false,
    sentAtMs: NOW_MS,
  };
  const { effects } = stepReplica.stepReplica(
    follower,
    { kind: "message", from: "a", message: request },
    NOW_MS,
  );
  for (const effect of effects) {
    if (effect.kind !== "send") continue;
    if (effect.message.kind === "appendReply") return effect.message;
  }
  throw new Error("b sent no reply");
}

function receiveReply(reply: messages.AppendReply): replicaStates.Transition {
  return stepReplica.stepReplica(
    createNewLeader(),
    { kind: "message", from: "b", message: reply },
    NOW_MS + 1,
  );
}

function listSentIndexes(
  effects: readonly replicaStates.Effect[],
): readonly number[] {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.message.kind === "appendRequest"
      ? effect.message.entries.map((entry) => entry.index)
      : []
  );
}

function getMatchIndex(state: replicaStates.ReplicaState): number {
  if (state.role.kind !== "leader") throw new Error("a is not the leader");
  return state.role.progress.get("b")?.matchIndex ?? 0;
}

describe("new leader of a replica that is far behind", () => {
  it("sends entries in answer to the replica's first reply", () => {
    const reply = rejectFirstMessage(createLog(HELD_ENTRIES, 1));
    const { state, effects } = receiveReply(reply);
    chai.expect(listSentIndexes(effects)[0]).to.equal(HELD_ENTRIES + 1);
    chai.expect(getMatchIndex(state)).to.equal(HELD_ENTRIES);
  });

  it("takes nothing for confirmed if the last entry of the replica differs", () => {
    const reply = rejectFirstMessage(createLog(HELD_ENTRIES, 2));
    chai.expect(getMatchIndex(receiveReply(reply).state)).to.equal(0);
  });

  it("takes nothing for confirmed from a replica that does not name the term", () => {
    const reply = rejectFirstMessage(createLog(HELD_ENTRIES, 1));
    const { state } = receiveReply({ ...reply, indexTerm: undefined });
    chai.expect(getMatchIndex(state)).to.equal(0);
  });
});
