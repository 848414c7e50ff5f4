import * as chai from "chai";
import * as leaderLeases from "./leader_lease.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * A replica that lost its disk gave votes and acknowledged entries before. Those
 * still count in terms that the leader which replaces it does not know of.
 */

const TIMEOUT_MS = 100;
const HEARTBEAT_MS = 20;
/** Time for which the old leader's process is paused, in ms. */
const PAUSE_MS = 1_000;

interface Envelope {
  readonly from: string;
  readonly to: string;
  readonly message: messages.Message;
}

/** Replicas with messages that a test delivers, drops or holds by link. */
class Group {
  readonly #states = new Map<string, replicaStates.ReplicaState>();
  #queue: readonly Envelope[] = [];
  /** Commands that were committed anywhere, by index, with the replicas. */
  readonly committed = new Map<number, Map<string, string>>();
  /** Tells which messages wait. */
  holds: (envelope: Envelope) => boolean = () => false;
  /** Links whose messages are lost. */
  cut: ReadonlySet<string> = new Set();
  nowMs = 0;

  constructor(voters: readonly string[], spares: readonly string[]) {
    const entry: replicaLogs.Entry = {
      index: 1,
      term: 0,
      command: { kind: "replicaSet", voters },
    };
    for (const id of [...voters, ...spares]) {
      const isVoter = voters.includes(id);
      this.start(id, {
        ...stepReplica.EMPTY_REPLICA,
        identity: { incarnation: 1, isAdmitted: isVoter },
        log: isVoter
          ? replicaLogs.appendEntries(replicaLogs.EMPTY_LOG, [entry])
          : replicaLogs.EMPTY_LOG,
      });
    }
  }

  start(id: string, saved: stepReplica.SavedReplica): void {
    const config: replicaStates.ReplicaConfig = {
      id,
      voters: [],
      electionTimeoutMs: TIMEOUT_MS,
      heartbeatMs: HEARTBEAT_MS,
      maxBatchEntries: 8,
      seed: id.charCodeAt(0),
    };
    this.#states.set(id, stepReplica.createReplica(config, saved, this.nowMs));
  }

  /** Starts a replica again with an empty disk. */
  wipe(id: string): void {
    this.start(id, {
      ...stepReplica.EMPTY_REPLICA,
      identity: { incarnation: 1_000 + this.nowMs, isAdmitted: false },
    });
  }

  /** Starts a replica again with its disk. */
  restart(id: string): void {
    this.start(id, this.get(id));
  }

  get(id: string): replicaStates.ReplicaState {
    const state = this.#states.get(id);
    if (state === undefined) throw new Error(`no replica ${id}`);
    return state;
  }

  step(id: string, event: replicaStates.ReplicaEvent): void {
    const { state, effects } = stepReplica.stepReplica(
      this.get(id),
      event,
      this.nowMs,
    );
    this.#states.set(id, state);
    for (const effect of effects) {
      if (effect.kind === "send") {
        const { to, message } = effect;
        if (this.cut.has(`${id}>${to}`)) continue;
        this.#queue = [...this.#queue, { from: id, to, message }];
      }
      if (effect.kind !== "commit") continue;
      for (const { index, term, command } of effect.entries) {
        const at = this.committed.get(index) ?? new Map<string, string>();
        this.committed.set(index, at);
        const value = `${term}:${JSON.stringify(command)}`;
        at.set(value, `${at.get(value) ?? ""}${id}`);
      }
    }
  }

  /** Delivers all messages that are not held. */
  deliver(): void {
    for (;;) {
      const at = this.#queue.findIndex((envelope) => !this.holds(envelope));
      const envelope = this.#queue[at];
      if (envelope === undefined) return;
      this.#queue = this.#queue.toSpliced(at, 1);
      const { from, to, message } = envelope;
      if (this.cut.has(`${from}>${to}`)) continue;
      this.step(to, { kind: "message", from, message });
    }
  }

  /** Delivers the first message of a link, though it is held. */
  deliverFirst(from: string, to: string): void {
    const at = this.#queue.findIndex((envelope) =>
      envelope.from === from && envelope.to === to
    );
    const envelope = this.#queue[at];
    if (envelope === undefined) throw new Error("no message waits");
    this.#queue = this.#queue.toSpliced(at, 1);
    this.step(to, { kind: "message", from, message: envelope.message });
  }

  /** Lets time pass with ticks of some replicas, and delivers. */
  run(ids: readonly string[], durationMs: number): void {
    for (const untilMs = this.nowMs + durationMs; this.nowMs < untilMs;) {
      this.nowMs += 5;
      for (const id of ids) this.step(id, { kind: "tick" });
      this.deliver();
    }
  }

  /** Lets only one replica tick until it leads. */
  awaitElection(id: string): void {
    for (let count = 0; count < 400; count += 1) {
      if (this.get(id).role.kind === "leader") return;
      this.run([id], 5);
    }
    throw new Error(`${id} was not elected`);
  }

  /** Cuts all links between two sides. */
  cutLinks(left: readonly string[], right: readonly string[]): void {
    this.cut = new Set(
      left.flatMap((a) => right.flatMap((b) => [`${a}>${b}`, `${b}>${a}`])),
    );
  }

  listConflicts(): readonly string[] {
    return [...this.committed].filter(([, values]) => values.size > 1).map((
      [index, values],
    ) =>
      `entry ${index}: ` +
      [...values].map(([value, by]) => `${value} at ${by}`).join(", ")
    );
  }
}

function createGroup(
  voters: readonly string[],
  spare: string,
): Group {
  const group = new Group(voters, [spare]);
  group.run([], 2 * TIMEOUT_MS);
  group.awaitElection("a");
  group.step("a", { kind: "setLearners", learners: [spare] });
  group.run(["a"], 20 * HEARTBEAT_MS);
  chai.expect(group.get(spare).identity.isAdmitted, "spare").to.equal(true);
  return group;
}

/**
 * Lets e become a candidate while a is cut off for some more than the timeout. The
 * process of e is paused next: of its requests for votes, only that to b has left.
 */
function startCandidacy(group: Group): void {
  group.cutLinks(["a"], ["b", "c", "d", "e", "f"]);
  group.run([], TIMEOUT_MS + 5);
  group.holds = ({ from, to, message }) =>
    from === "e" && to !== "b" && message.kind === "voteRequest" &&
    !message.isPreVote;
  for (let count = 0; group.get("e").role.kind !== "candidate"; count += 1) {
    if (count > 200) throw new Error("e was no candidate");
    group.run(["e"], 5);
  }
  chai.expect(group.get("b").votedFor).to.equal("e");
}

/** Ends the pause of e: its timer fires, and it reads and sends what is due. */
function resume(group: Group): void {
  group.step("e", { kind: "tick" });
}

describe("replacement of an emptied voter", () => {
  it("commits nothing at a leader whose successor it elected before", () => {
    const group = createGroup(["a", "b", "c"], "d");
    // a is paused, or cut off for less than its patience; b elects c.
    group.cutLinks(["a"], ["b", "c"]);
    group.run([], TIMEOUT_MS + HEARTBEAT_MS);
    group.awaitElection("c");
    group.step("c", { kind: "propose", commands: ["of c"] });
    group.run(["c"], 2 * HEARTBEAT_MS);
    const committedAt = [...group.committed].find(([, values]) =>
      [...values.keys()].some((value) => value.includes("of c"))
    );
    chai.expect(committedAt?.[0], "committed by b and c").to.be.a("number");
    // b loses its disk, c its power. One lost disk is to be borne.
    group.nowMs += PAUSE_MS;
    group.cutLinks(["c"], ["a", "b", "d"]);
    group.wipe("b");
    group.run(["a"], 5);
    chai.expect(group.get("a").role.kind).to.equal("leader");
    // What the planner asks for; it asks for no authority.
    group.step("a", { kind: "changeVoters", voters: ["a", "c", "d"] });
    group.step("a", { kind: "propose", commands: ["of a", "of a too"] });
    group.run(["a"], 4 * HEARTBEAT_MS);
    chai.expect(group.listConflicts()).to.deep.equal([]);
  });

  it("commits nothing while its former vote is under way, with authority", () => {
    const group = createGroup(["a", "b", "c", "d", "e"], "f");
    startCandidacy(group);
    // b, which has voted for e, loses its disk; a goes on, cut off from e only.
    group.wipe("b");
    group.cutLinks(["a", "b", "c", "d", "f"], ["e"]);
    group.run(["a"], HEARTBEAT_MS + 5);
    chai.expect(
      leaderLeases.hasAuthority(group.get("a"), group.nowMs, 0),
      "authority",
    ).to.equal(true);
    // c misses what follows.
    group.cut = new Set([...group.cut, "a>c", "c>a"]);
    group.step("a", {
      kind: "changeVoters",
      voters: ["a", "c", "d", "e", "f"],
    });
    group.step("a", { kind: "propose", commands: ["of a", "of a too"] });
    group.run(["a"], HEARTBEAT_MS);
    // The vote request of e reaches c once c has missed a for the timeout.
    group.nowMs += TIMEOUT_MS;
    resume(group);
    group.cutLinks(["a", "d", "f"], ["b", "c", "e"]);
    group.holds = ({ from, to }) => from === "e" && to !== "c";
    group.deliver();
    group.holds = () => false;
    group.cut = new Set();
    if (group.get("e").role.kind === "leader") {
      group.step("e", { kind: "propose", commands: ["of e"] });
    }
    group.run([..."abcdef"], 8 * HEARTBEAT_MS);
    chai.expect(group.listConflicts()).to.deep.equal([]);
  });
});

describe("admission of an emptied voter", () => {
  it("gives it no second vote in a term of its former life", () => {
    const group = createGroup(["a", "b", "c", "d", "e"], "f");
    startCandidacy(group);
    const term = group.get("e").term;
    group.wipe("b");
    group.cutLinks(["a", "b", "c", "d", "f"], ["e"]);
    group.run(["a"], 3 * HEARTBEAT_MS);
    chai.expect(group.get("b").identity.isAdmitted, "early").to.equal(false);
    group.run(["a"], 3 * TIMEOUT_MS);
    chai.expect(group.get("b").identity.isAdmitted, "admitted").to.equal(true);
    // a starts again; c gets the vote request of e, d is elected by a and b.
    group.restart("a");
    group.nowMs += TIMEOUT_MS + 5;
    resume(group);
    group.cutLinks(["a", "b", "d", "f"], ["c", "e"]);
    group.holds = ({ from, to }) => from === "e" && to !== "c";
    group.deliver();
    const isLeading = group.get("e").role.kind === "leader" &&
      group.get("e").term === term;
    group.awaitElection("d");
    chai.expect([isLeading, group.get("d").term]).to.not.deep.equal([
      true,
      term,
    ]);
  });
});

describe("a voter that is being admitted", () => {
  it("still counts as such after it was dropped and is fed again", () => {
    const group = createGroup(["a", "b", "c", "d", "e"], "f");
    group.cutLinks(["a", "c", "d", "e", "f"], ["b"]);
    group.wipe("b");
    group.cutLinks([], []);
    group.run(["a"], 5);
    while (!isHeard(group)) group.run(["a"], 5);
    // Slow boxes: replies of b take a while from now on.
    group.holds = ({ from }) => from === "b";
    group.run(["a"], 3 * HEARTBEAT_MS);
    chai.expect(group.get("b").identity.isAdmitted, "admitted").to.equal(true);
    // The plan of a moment ago, in which b was voteless.
    group.cutLinks(["a", "e", "f"], ["b", "c", "d"]);
    group.step("a", { kind: "changeVoters", voters: ["a", "c", "d", "e"] });
    group.step("a", { kind: "setLearners", learners: ["b", "f"] });
    group.cut = new Set();
    group.cutLinks(["a"], ["c", "d"]);
    group.cut = new Set([...group.cut, "a>b"]);
    group.deliverFirst("b", "a");
    group.run(["a"], 5);
    group.step("a", {
      kind: "changeVoters",
      voters: ["a", "c", "d", "e", "f"],
    });
    group.step("a", { kind: "propose", commands: ["of a", "of a too"] });
    group.cutLinks(["a", "e", "f"], ["b", "c", "d"]);
    group.run(["a"], HEARTBEAT_MS);
    group.holds = () => false;
    group.run([], TIMEOUT_MS + HEARTBEAT_MS);
    group.awaitElection("c");
    group.run(["c"], 2 * HEARTBEAT_MS);
    chai.expect(group.listConflicts()).to.deep.equal([]);
  });
});

/** Whether the leader a has heard b since it was emptied. */
function isHeard(group: Group): boolean {
  const { role } = group.get("a");
  if (role.kind !== "leader") throw new Error("a does not lead");
  const progress = role.progress.get("b");
  return progress?.identity.isAdmitted === false &&
    progress.heardAtMs !== undefined;
}
