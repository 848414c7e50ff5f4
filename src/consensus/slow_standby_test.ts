import * as chai from "chai";
import * as leaderFixtures from "./leader_fixture_test.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * A standby on a slow disk that confirms entries all the time, but fewer than are
 * proposed, must not keep an emptied voter on a sound disk from being fed.
 */

const ENTRIES = 2_000;
const DURATION_MS = 20_000;
/** Interval between proposed commands, in ms. */
const COMMAND_MS = 5;
/** Time that the standby takes to write an entry, in ms. */
const SLOW_ENTRY_MS = 8;
const SOUND_ENTRY_MS = 1;
const UNADMITTED = { incarnation: 1, isAdmitted: false };

/** A follower that writes one message after the other. */
class Follower {
  readonly #entryMs: number;
  /** Messages and when they are written, in ms. */
  #writes: readonly {
    readonly request: messages.AppendRequest;
    readonly atMs: number;
  }[] = [];
  index: number;
  readonly #identity: messages.ReplicaIdentity;

  constructor(
    entryMs: number,
    index: number,
    identity: messages.ReplicaIdentity,
  ) {
    this.#entryMs = entryMs;
    this.index = index;
    this.#identity = identity;
  }

  receive(request: messages.AppendRequest, nowMs: number): void {
    const startMs = Math.max(nowMs, this.#writes.at(-1)?.atMs ?? 0);
    const atMs = startMs + 1 + request.entries.length * this.#entryMs;
    this.#writes = [...this.#writes, { request, atMs }];
  }

  takeReplies(nowMs: number): readonly messages.AppendReply[] {
    const done = this.#writes.filter(({ atMs }) => atMs <= nowMs);
    this.#writes = this.#writes.filter(({ atMs }) => atMs > nowMs);
    return done.map(({ request }) => {
      const { previousIndex, entries, term, sentAtMs } = request;
      const isMatch = previousIndex <= this.index;
      if (isMatch) {
        this.index = Math.max(this.index, previousIndex + entries.length);
      }
      return {
        kind: "appendReply",
        term,
        isMatch,
        index: isMatch ? previousIndex + entries.length : this.index,
        sentAtMs,
        identity: this.#identity,
      };
    });
  }
}

describe("an emptied voter beside a slow standby", () => {
  it("is fed although the standby holds more", () => {
    const entries = Array.from({ length: ENTRIES }, (_, at) => ({
      index: at + 1,
      term: 1,
      command: "x",
    }));
    let state: replicaStates.ReplicaState = {
      ...leaderFixtures.createLeader({
        term: 1,
        votedFor: "a",
        identity: { incarnation: 0, isAdmitted: true },
        log: replicaLogs.appendEntries(replicaLogs.EMPTY_LOG, entries),
      }),
    };
    state = {
      ...state,
      config: { ...state.config, electionTimeoutMs: 450, heartbeatMs: 90 },
    };
    const admitted = { incarnation: 0, isAdmitted: true };
    const followers = new Map([
      ["b", new Follower(SOUND_ENTRY_MS, 0, UNADMITTED)],
      ["c", new Follower(0, ENTRIES, admitted)],
      ["d", new Follower(SLOW_ENTRY_MS, 500, UNADMITTED)],
    ]);
    function step(event: replicaStates.ReplicaEvent, nowMs: number): void {
      const next = stepReplica.stepReplica(state, event, nowMs);
      state = next.state;
      for (const effect of next.effects) {
        if (effect.kind !== "send") continue;
        if (effect.message.kind !== "appendRequest") continue;
        followers.get(effect.to)?.receive(effect.message, nowMs);
      }
    }
    step({ kind: "setLearners", learners: ["d"] }, 1);
    for (let nowMs = 2; nowMs < DURATION_MS; nowMs += 1) {
      for (const [from, follower] of followers) {
        for (const message of follower.takeReplies(nowMs)) {
          step({ kind: "message", from, message }, nowMs);
        }
      }
      if (nowMs % COMMAND_MS === 0) {
        step({ kind: "propose", commands: ["x"] }, nowMs);
      }
      step({ kind: "tick" }, nowMs);
    }
    chai.expect(state.role.kind).to.equal("leader");
    const lag = replicaLogs.getLastIndex(state.log) -
      (followers.get("b")?.index ?? 0);
    chai.expect(lag, "entries that b lacks").to.be.at.most(96);
  });
});
