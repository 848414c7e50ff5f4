import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as leaderFixtures from "./leader_fixture_test.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as transfers from "./_snapshot_transfer.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * A large snapshot takes longer than a replica may make no progress, and its parts
 * did not count as progress: a second replica was sent a snapshot at the same time.
 * Once it was whole, a late rejection caused the next one to be sent at once.
 */

const SNAPSHOT_INDEX = 1_000;
const NOW_MS = 10_000;
const STALLED_SINCE_MS = 5_000;
const PARTS = 3;
const TERM = 1;
/** Time after which a replica that still needs a snapshot is sent one, in ms. */
const INSTALL_MS = 600;

const SNAPSHOT: messages.Snapshot = {
  index: SNAPSHOT_INDEX,
  term: TERM,
  state: Array.from({ length: PARTS }, (_, part) => `part ${part}`),
  voters: ["a", "b", "c"],
};

/** Creates a leader that sends b a snapshot, while learner d needs one too. */
function createLeader(): replicaStates.ReplicaState {
  const leader = leaderFixtures.createLeader({
    term: TERM,
    votedFor: "a",
    identity: { incarnation: 0, isAdmitted: true },
    log: replicaLogs.createLog(SNAPSHOT),
  });
  if (leader.role.kind !== "leader") throw new Error("a is not the leader");
  const waiting: replicaStates.Progress = {
    nextIndex: 1,
    matchIndex: 0,
    lastAckedSentAtMs: NOW_MS,
    lastProgressAtMs: STALLED_SINCE_MS,
    identity: { incarnation: 1, isAdmitted: false },
  };
  const caughtUp = leader.role.progress.get("c");
  if (caughtUp === undefined) throw new Error("c is not a follower");
  const progress = new Map([
    ["c", { ...caughtUp, lastAckedSentAtMs: NOW_MS }] as const,
    ["b", { ...waiting, nextIndex: SNAPSHOT_INDEX + 1 }] as const,
    ["d", waiting] as const,
  ]);
  return {
    ...leader,
    learners: ["d"],
    role: { ...leader.role, progress, nextHeartbeatAtMs: NOW_MS },
  };
}

/** Confirms the first `received` parts to a sender and returns its events. */
function acknowledgeParts(
  received: number,
): readonly replicaStates.SnapshotConfirmed[] {
  const events: replicaStates.SnapshotConfirmed[] = [];
  let transfer = "";
  const sender = new transfers.SnapshotSender({
    clock: new clocks.FakeClock(),
    send: (_to, message) => {
      if (message.kind === "snapshotPart") transfer = message.transfer;
    },
    createSnapshot: () => SNAPSHOT,
    onConfirmed: (event) => events.push(event),
  });
  sender.send("b", TERM);
  sender.handleReply(
    "b",
    { kind: "snapshotPartReply", transfer, received },
    TERM,
  );
  return events;
}

/** Returns the leader after the events. */
function receiveEvents(
  events: readonly replicaStates.ReplicaEvent[],
): replicaStates.ReplicaState {
  return events.reduce(
    (state, event) => stepReplica.stepReplica(state, event, NOW_MS).state,
    createLeader(),
  );
}

/** Lists the replicas that are sent a snapshot with the next heartbeat. */
function listTargets(state: replicaStates.ReplicaState): readonly string[] {
  const { effects } = stepReplica.stepReplica(
    state,
    { kind: "tick" },
    NOW_MS + 1,
  );
  return effects.flatMap((effect) =>
    effect.kind === "sendSnapshot" ? [effect.to] : []
  );
}

function createRejection(sentAtMs: number): replicaStates.ReplicaEvent {
  const reply: messages.AppendReply = {
    kind: "appendReply",
    term: TERM,
    isMatch: false,
    index: 0,
    sentAtMs,
    identity: { incarnation: 1, isAdmitted: false },
  };
  return { kind: "message", from: "b", message: reply };
}

describe("leader that sends a large snapshot", () => {
  it("sends no second one while parts are confirmed", () => {
    const state = receiveEvents(acknowledgeParts(PARTS - 1));
    chai.expect(listTargets(state)).to.deep.equal([]);
  });

  it("starts no transfer before a replica can have installed the last one", () => {
    const clock = new clocks.FakeClock();
    const transferIds: string[] = [];
    const sender = new transfers.SnapshotSender({
      clock,
      send: (_to, message) => {
        if (message.kind === "snapshotPart") transferIds.push(message.transfer);
      },
      createSnapshot: () => SNAPSHOT,
    });
    sender.send("b", TERM);
    const [transfer = ""] = transferIds;
    const kind = "snapshotPartReply";
    sender.handleReply("b", { kind, transfer, received: PARTS }, TERM);
    sender.send("b", TERM);
    chai.expect(new Set(transferIds).size).to.equal(1);
    clock.advance(INSTALL_MS);
    sender.send("b", TERM);
    chai.expect(new Set(transferIds).size).to.equal(2);
  });

  it("sends none again because of a message sent before it was whole", () => {
    const state = receiveEvents([
      ...acknowledgeParts(PARTS),
      createRejection(NOW_MS - 1),
    ]);
    chai.expect(listTargets(state)).to.deep.equal([]);
  });

  it("sends one again if the replica lacks it after it was whole", () => {
    const state = receiveEvents([
      ...acknowledgeParts(PARTS),
      createRejection(NOW_MS),
    ]);
    chai.expect(listTargets(state)).to.deep.equal(["b"]);
  });
});
