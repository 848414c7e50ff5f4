import type * as clocks from "../clock/mod.ts";
import * as catchUpMonitors from "./_catch_up_monitor.ts";
import * as leaderMonitors from "./_leader_monitor.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaOptions from "./replica_options.ts";
import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";

/** What a teller needs. */
type ReporterOptions = Pick<
  replicaOptions.ReplicaDriverOptions,
  "clock" | "onNotice"
>;

/** Tells what changed about a replica since it was looked at last. */
export class NoticeReporter {
  readonly #clock: clocks.Clock;
  readonly #notify: notices.NoticeHandler;
  #lastRole = "";
  #lastVoters = "";
  #hadAuthority = false;
  #wasAdmitted: boolean;
  readonly #openedAtMs: number;
  readonly #catchUps: catchUpMonitors.CatchUpMonitor;
  readonly #leaderMonitor: leaderMonitors.LeaderMonitor;

  /**
   * @param options Where notices go; none are told unless `onNotice` is given.
   * @param opened The replica as it was opened.
   */
  constructor(options: ReporterOptions, opened: replicaStates.ReplicaState) {
    const { clock, onNotice = () => {} } = options;
    this.#clock = clock;
    this.#notify = onNotice;
    this.#wasAdmitted = opened.identity.isAdmitted;
    this.#openedAtMs = clock.getMonotonicMs();
    this.#catchUps = new catchUpMonitors.CatchUpMonitor(onNotice);
    this.#leaderMonitor = new leaderMonitors.LeaderMonitor(
      this.#openedAtMs,
      onNotice,
    );
  }

  /** Notes an answer to a vote request, and tells of a refusal. */
  recordEvent(
    state: replicaStates.ReplicaState,
    event: replicaStates.ReplicaEvent,
  ): void {
    if (event.kind !== "message" || event.message.kind !== "voteReply") return;
    const { from, message: reply } = event;
    this.#leaderMonitor.recordReply(
      state,
      from,
      reply,
      this.#clock.getMonotonicMs(),
    );
    const { refusal: reason, term } = reply;
    if (reason === undefined) return;
    this.#notify({ kind: "voteRefused", by: from, term, reason });
  }

  /**
   * Looks whether the replica knows a leader, also while it waits for a write,
   * which may not end; tells at intervals that it knows none.
   *
   * @param writingMs How long the write under way has lasted, in ms.
   */
  observeLeader(
    state: replicaStates.ReplicaState,
    hasAuthority: boolean,
    writingMs: number,
  ): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#leaderMonitor.observe(state, hasAuthority, nowMs, writingMs);
  }

  /** Looks at the replica; tells each change once. */
  observe(state: replicaStates.ReplicaState, hasAuthority: boolean): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#observeRole(state);
    this.#observeVoters(state);
    this.#observeAdmission(state, nowMs);
    this.#catchUps.observe(state, nowMs);
    this.#leaderMonitor.observe(state, hasAuthority, nowMs, 0);
    this.#observeAuthority(state, hasAuthority, nowMs);
  }

  /** Describes why the replica leads, or why it does not. */
  describe(
    state: replicaStates.ReplicaState,
    hasAuthority: boolean,
    writingMs: number,
  ): replicaStatuses.ReplicaHealth {
    this.observeLeader(state, hasAuthority, writingMs);
    const nowMs = this.#clock.getMonotonicMs();
    const leaderlessMs = this.#leaderMonitor.getLeaderlessMs(nowMs);
    const fedMs = this.#catchUps.getLongestCatchUpMs(nowMs);
    const times = { hasAuthority, leaderlessMs, writingMs, fedMs };
    return replicaStatuses.describeHealth(state, times, nowMs);
  }

  #observeRole(state: replicaStates.ReplicaState): void {
    const { term, role } = state;
    const leader = replicaStatuses.getLeader(state);
    const key = `${role.kind} ${term} ${leader}`;
    if (key === this.#lastRole) return;
    this.#lastRole = key;
    this.#notify({ kind: "role", role: role.kind, term, leader });
  }

  #observeVoters(state: replicaStates.ReplicaState): void {
    const set = replicaStatuses.describeVoterSet(state);
    if (set.voters.length === 0) return;
    const key = `${set.voters.join(",")} ${set.index} ${set.isCommitted}`;
    if (key === this.#lastVoters) return;
    this.#lastVoters = key;
    this.#notify({ kind: "voters", set, term: state.term });
  }

  #observeAdmission(state: replicaStates.ReplicaState, nowMs: number): void {
    const { identity, term, commitIndex } = state;
    if (identity.isAdmitted === this.#wasAdmitted) return;
    this.#wasAdmitted = identity.isAdmitted;
    this.#notify({
      kind: "admitted",
      incarnation: identity.incarnation,
      term,
      index: commitIndex,
      openedMs: Math.round(nowMs - this.#openedAtMs),
    });
  }

  #observeAuthority(
    state: replicaStates.ReplicaState,
    hasAuthority: boolean,
    nowMs: number,
  ): void {
    if (hasAuthority === this.#hadAuthority) return;
    this.#hadAuthority = hasAuthority;
    const voters = replicaStates.listVoters(state);
    const { followers, lastIndex } = replicaStatuses.describeReplica(
      state,
      nowMs,
    );
    const silent = followers.filter(({ id }) => voters.includes(id))
      .toSorted((a, b) => b.silentMs - a.silentMs)
      .map(({ id, silentMs, isAdmitted, matchIndex }) => ({
        id,
        silentMs,
        isAdmitted,
        lag: lastIndex - matchIndex,
      }));
    const { term } = state;
    this.#notify({ kind: "authority", hasAuthority, term, lastIndex, silent });
  }
}
