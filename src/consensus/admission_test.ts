import * as chai from "chai";
import * as admissions from "./_admission.ts";
import * as leaderFixtures from "./leader_fixture_test.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * An emptied replica must not be admitted by a leader that was deposed meanwhile,
 * and counts as voteless only while no message under way could admit it.
 */

const ENTRIES = 10;
const HEARD_AT_MS = 1_000;
const LATER_MS = 1_500;
const EMPTIED: messages.ReplicaIdentity = { incarnation: 7, isAdmitted: false };

/** A leader of a, b, c and the learner d, which has committed all entries. */
function createLeader(): replicaStates.ReplicaState {
  const entries = Array.from({ length: ENTRIES }, (_, at) => ({
    index: at + 1,
    term: 1,
    command: at === 0 ? { kind: "replicaSet", voters: ["a", "b", "c"] } : at,
  }));
  const leader = leaderFixtures.createLeader({
    term: 1,
    votedFor: "a",
    identity: { incarnation: 0, isAdmitted: true },
    log: replicaLogs.appendEntries(replicaLogs.EMPTY_LOG, entries),
  });
  if (leader.role.kind !== "leader") throw new Error("a is not the leader");
  const standby = createAcknowledged(LATER_MS);
  const progress = new Map([...leader.role.progress, ["d", standby] as const]);
  return {
    ...leader,
    commitIndex: replicaLogs.getLastIndex(leader.log),
    learners: ["d"],
    role: { ...leader.role, progress, termStartIndex: ENTRIES },
  };
}

function createAcknowledged(
  lastAckedSentAtMs: number,
): replicaStates.Progress {
  return {
    nextIndex: ENTRIES + 1,
    matchIndex: ENTRIES,
    lastAckedSentAtMs,
    heardAtMs: 0,
    identity: { incarnation: 1, isAdmitted: true },
  };
}

function setProgress(
  state: replicaStates.ReplicaState,
  id: string,
  progress: replicaStates.Progress,
): replicaStates.ReplicaState {
  if (state.role.kind !== "leader") throw new Error("it does not lead");
  const all = new Map([...state.role.progress, [id, progress] as const]);
  return { ...state, role: { ...state.role, progress: all } };
}

/** The progress of b, which lost its disk and has caught up. */
const CAUGHT_UP: replicaStates.Progress = {
  nextIndex: ENTRIES + 1,
  matchIndex: ENTRIES,
  lastAckedSentAtMs: LATER_MS,
  heardAtMs: HEARD_AT_MS,
  identity: EMPTIED,
};

describe("admission of a replica that lost its disk", () => {
  it("waits for a quorum that confirms the leader after the replica was heard", () => {
    const early = setProgress(
      createLeader(),
      "c",
      createAcknowledged(HEARD_AT_MS),
    );
    const later = setProgress(
      early,
      "c",
      createAcknowledged(HEARD_AT_MS + 1),
    );
    const lastIndex = ENTRIES;
    chai.expect(admissions.canAdmit(early, "b", CAUGHT_UP, lastIndex)).to.equal(
      false,
    );
    chai.expect(admissions.canAdmit(later, "b", CAUGHT_UP, lastIndex)).to.equal(
      true,
    );
  });

  it("takes a message that reaches the newest set and all committed entries", () => {
    const leader = setProgress(
      createLeader(),
      "c",
      createAcknowledged(LATER_MS),
    );
    const lastIndex = leader.commitIndex;
    chai.expect(admissions.canAdmit(leader, "b", CAUGHT_UP, lastIndex - 1)).to
      .equal(false);
    const { state: changed } = stepReplica.stepReplica(
      setProgress(leader, "b", CAUGHT_UP),
      { kind: "changeVoters", voters: ["a", "c", "d"] },
      LATER_MS,
    );
    const setIndex = replicaSets.findReplicaSet(changed.log)?.index ?? 0;
    chai.expect(setIndex).to.equal(lastIndex + 1);
    chai.expect(admissions.canAdmit(changed, "b", CAUGHT_UP, lastIndex)).to
      .equal(false);
    chai.expect(admissions.canAdmit(changed, "b", CAUGHT_UP, setIndex)).to
      .equal(true);
  });

  it("names the incarnation, so that a later one is not admitted", () => {
    const request: messages.AppendRequest = {
      kind: "appendRequest",
      term: 1,
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
      isEstablished: true,
      admits: EMPTIED.incarnation,
      sentAtMs: 1,
    };
    for (const incarnation of [EMPTIED.incarnation, EMPTIED.incarnation + 1]) {
      const { state } = stepReplica.stepReplica(
        stepReplica.createReplica(
          { ...leaderFixtures.CONFIG, id: "b" },
          {
            ...stepReplica.EMPTY_REPLICA,
            identity: { incarnation, isAdmitted: false },
          },
          0,
        ),
        { kind: "message", from: "a", message: request },
        1,
      );
      chai.expect(state.identity.isAdmitted).to.equal(
        incarnation === EMPTIED.incarnation,
      );
    }
  });
});

describe("change of voters", () => {
  function plan(
    b: replicaStates.Progress,
    voters: readonly string[],
    admitted?: number,
  ): readonly string[] {
    const leader = setProgress(
      setProgress(createLeader(), "b", b),
      "c",
      createAcknowledged(LATER_MS),
    );
    if (leader.role.kind !== "leader") throw new Error("a is not the leader");
    const admitting = new Map(
      admitted === undefined ? [] : [["b", admitted] as const],
    );
    const { state } = stepReplica.stepReplica(
      { ...leader, role: { ...leader.role, admitting } },
      { kind: "changeVoters", voters },
      LATER_MS,
    );
    return replicaSets.findReplicaSet(state.log)?.voters ?? [];
  }

  it("replaces a voter in one step only while it is certain not to vote", () => {
    const swapped = ["a", "c", "d"];
    const before = ["a", "b", "c"];
    chai.expect(plan(CAUGHT_UP, swapped), "emptied").to.deep.equal(swapped);
    chai.expect(plan(CAUGHT_UP, swapped, EMPTIED.incarnation), "being admitted")
      .to.deep.equal(before);
    const unconfirmed = { ...CAUGHT_UP, heardAtMs: LATER_MS };
    chai.expect(plan(unconfirmed, swapped), "unconfirmed").to.deep.equal(
      before,
    );
    const admitted = createAcknowledged(LATER_MS);
    chai.expect(plan(admitted, swapped), "admitted").to.deep.equal(before);
    const unheard: replicaStates.Progress = {
      nextIndex: CAUGHT_UP.nextIndex,
      matchIndex: 0,
      lastAckedSentAtMs: Number.NEGATIVE_INFINITY,
      identity: EMPTIED,
    };
    chai.expect(plan(unheard, swapped), "unheard").to.deep.equal(before);
  });

  it("needs overlapping quorums of replicas that can vote", () => {
    const { hasQuorumOverlap } = replicaSets;
    const abc = ["a", "b", "c"];
    chai.expect(hasQuorumOverlap(abc, ["a", "b", "c", "d"], [])).to.equal(true);
    chai.expect(hasQuorumOverlap(abc, ["a", "b"], [])).to.equal(true);
    chai.expect(hasQuorumOverlap(abc, ["a", "b", "d"], [])).to.equal(false);
    chai.expect(hasQuorumOverlap(abc, ["a", "b", "d"], ["c"])).to.equal(true);
    chai.expect(hasQuorumOverlap(abc, ["a", "d", "e"], ["c"])).to.equal(false);
    const abcde = [..."abcde"];
    chai.expect(hasQuorumOverlap(abcde, [..."abcfg"], ["d", "e"])).to.equal(
      true,
    );
    chai.expect(hasQuorumOverlap(abcde, [..."abcfg"], ["d"])).to.equal(false);
    chai.expect(hasQuorumOverlap(abc, [], ["a", "b", "c"])).to.equal(false);
  });
});
