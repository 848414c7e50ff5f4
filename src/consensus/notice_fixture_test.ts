import * as clocks from "../clock/mod.ts";
import * as leaderFixtures from "./leader_fixture_test.ts";
import * as noticeReporters from "./_notice_reporter.ts";
import type * as messages from "./message.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/** A replica whose disk was lost, before and after it is admitted. */
export const UNADMITTED = { incarnation: 7, isAdmitted: false };
export const ADMITTED = { incarnation: 7, isAdmitted: true };
/** When tests begin, and when followers answered last, in monotonic ms. */
export const START_TIME_MS = 1_000;

/** Gathers the notices of a replica, whose state the test gives. */
export class NoticeRecorder {
  readonly clock = new clocks.FakeClock(START_TIME_MS);
  readonly #reporter: noticeReporters.NoticeReporter;
  readonly #notices: notices.ReplicaNotice[] = [];

  constructor(opened: replicaStates.ReplicaState) {
    this.#reporter = new noticeReporters.NoticeReporter(
      { clock: this.clock, onNotice: (notice) => this.#notices.push(notice) },
      opened,
    );
  }

  /** Looks at the replica after a round. */
  observe(state: replicaStates.ReplicaState, hasAuthority = false): void {
    this.#reporter.observe(state, hasAuthority);
  }

  /** Looks at it as its timer does. */
  observeLeader(state: replicaStates.ReplicaState, writingMs = 0): void {
    this.#reporter.observeLeader(state, false, writingMs);
  }

  /** Has voter b answer a vote request of the replica. */
  receiveVoteReply(
    state: replicaStates.ReplicaState,
    reply: Omit<messages.VoteReply, "kind" | "term">,
  ): void {
    const message = { kind: "voteReply" as const, term: 3, ...reply };
    this.#reporter.recordEvent(state, { kind: "message", from: "b", message });
  }

  /** Gives the notices of a kind, in order. */
  listByKind<K extends notices.ReplicaNotice["kind"]>(
    kind: K,
  ): readonly Extract<notices.ReplicaNotice, { kind: K }>[] {
    return this.#notices.filter((notice) => notice.kind === kind) as Extract<
      notices.ReplicaNotice,
      { kind: K }
    >[];
  }
}

/** Makes replica a, which follows nobody yet. */
export function createFollower(
  identity: messages.ReplicaIdentity,
): replicaStates.ReplicaState {
  const saved = { ...stepReplica.EMPTY_REPLICA, term: 3, identity };
  return stepReplica.createReplica(leaderFixtures.CONFIG, saved, START_TIME_MS);
}

/** Makes replica a lead over b and c. */
export function createLeader(): replicaStates.ReplicaState {
  const saved = { ...stepReplica.EMPTY_REPLICA, term: 3 };
  return leaderFixtures.createLeader(saved);
}

/** Changes what a leader knows of b. */
export function changeProgress(
  state: replicaStates.ReplicaState,
  change: Partial<replicaStates.Progress>,
): replicaStates.ReplicaState {
  const { role } = state;
  if (role.kind !== "leader") return state;
  const known = role.progress.get("b");
  if (known === undefined) return state;
  const changed = { ...known, lastAckedSentAtMs: START_TIME_MS, ...change };
  const progress = new Map([...role.progress, ["b", changed] as const]);
  return { ...state, role: { ...role, progress } };
}
