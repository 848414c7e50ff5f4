import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as noticeTellers from "./_notice_teller.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

const EMPTIED = { incarnation: 7, isAdmitted: false };
const ADMITTED = { incarnation: 7, isAdmitted: true };
const START_MS = 1_000;

describe("notice teller", () => {
  let clock = new clocks.FakeClock(START_MS);
  let told: notices.ReplicaNotice[] = [];

  beforeEach(() => {
    clock = new clocks.FakeClock(START_MS);
    told = [];
  });

  function createTeller(
    opened: replicaStates.ReplicaState,
  ): noticeTellers.NoticeTeller {
    return new noticeTellers.NoticeTeller(
      { clock, onNotice: (notice) => told.push(notice) },
      opened,
    );
  }

  function createFollower(
    identity: replicaStates.ReplicaState["identity"],
  ): replicaStates.ReplicaState {
    const saved = { ...stepReplica.EMPTY_REPLICA, term: 3, identity };
    return stepReplica.createReplica(leaderFixtures.CONFIG, saved, START_MS);
  }

  function createLeader(): replicaStates.ReplicaState {
    return leaderFixtures.createLeader({
      ...stepReplica.EMPTY_REPLICA,
      term: 3,
    });
  }

  /** The leader with what it knows of b changed. */
  function changeProgress(
    state: replicaStates.ReplicaState,
    change: Partial<replicaStates.Progress>,
  ): replicaStates.ReplicaState {
    const { role } = state;
    if (role.kind !== "leader") return state;
    const known = role.progress.get("b");
    if (known === undefined) return state;
    const changed = { ...known, answeredSentAtMs: START_MS, ...change };
    const progress = new Map([...role.progress, ["b", changed] as const]);
    return { ...state, role: { ...role, progress } };
  }

  function listTold<K extends notices.ReplicaNotice["kind"]>(
    kind: K,
  ): readonly Extract<notices.ReplicaNotice, { kind: K }>[] {
    return told.filter((notice) => notice.kind === kind) as Extract<
      notices.ReplicaNotice,
      { kind: K }
    >[];
  }

  it("tells once that the replica counts, with the time since it was opened", () => {
    const emptied = createFollower(EMPTIED);
    const teller = createTeller(emptied);
    teller.observe(emptied, false);
    chai.expect(listTold("admitted")).to.deep.equal([]);
    clock.extendBy(250);
    const admitted = { ...emptied, identity: ADMITTED, commitIndex: 9 };
    teller.observe(admitted, false);
    teller.observe(admitted, false);
    chai.expect(listTold("admitted")).to.deep.equal([
      { kind: "admitted", incarnation: 7, term: 3, index: 9, openedMs: 250 },
    ]);
  });

  it("tells no admission of a replica that counted when it was opened", () => {
    const whole = createFollower(ADMITTED);
    createTeller(whole).observe(whole, false);
    chai.expect(listTold("admitted")).to.deep.equal([]);
  });

  it("tells once that a follower counts which this leader fed, and how long", () => {
    const leader = createLeader();
    const teller = createTeller(leader);
    teller.observe(leader, true);
    teller.observe(changeProgress(leader, { identity: EMPTIED }), true);
    clock.extendBy(1_200);
    teller.observe(changeProgress(leader, { identity: EMPTIED }), true);
    const caughtUp = changeProgress(leader, {
      identity: ADMITTED,
      matchIndex: 40,
    });
    teller.observe(caughtUp, true);
    teller.observe(caughtUp, true);
    chai.expect(listTold("followerAdmitted")).to.deep.equal([{
      kind: "followerAdmitted",
      id: "b",
      incarnation: 7,
      term: 3,
      index: 40,
      fedMs: 1_200,
    }]);
  });

  it("tells of a follower that lost its disk and counts between two looks", () => {
    const leader = createLeader();
    const teller = createTeller(leader);
    teller.observe(leader, true);
    teller.observe(changeProgress(leader, { identity: ADMITTED }), true);
    const [notice] = listTold("followerAdmitted");
    chai.expect(notice?.id).to.equal("b");
    chai.expect(notice?.fedMs).to.equal(0);
  });

  it("tells nothing of a follower that counts when a new leader first hears it", () => {
    const leader = createLeader();
    const teller = createTeller(leader);
    const unheard = changeProgress(leader, {
      answeredSentAtMs: Number.NEGATIVE_INFINITY,
      identity: { incarnation: 0, isAdmitted: false },
    });
    teller.observe(unheard, false);
    teller.observe(changeProgress(leader, { identity: ADMITTED }), true);
    chai.expect(listTold("followerAdmitted")).to.deep.equal([]);
  });
});
