import type * as clocks from "../clock/mod.ts";
import * as catchUpMonitors from "./_catch_up_monitor.ts";
import * as leaderMonitors from "./_leader_monitor.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaOptions from "./replica_options.ts";
import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";

/** Options of a notice reporter. */
type ReporterOptions = Pick<
  replicaOptions.ReplicaDriverOptions,
  "clock" | "onNotice"
>;

/** Reports changes of a replica since it was last observed. */
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
   * @param options Clock and receiver; notices are discarded without `onNotice`.
   * @param opened The replica as loaded from disk.
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

  /** Records a vote reply and reports a refusal; ignores all other events. */
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
   * Reports at intervals that the replica knows no leader. Must also be called
   * while a write blocks the replica, as the write may never end.
   *
   * @param writingMs Age of the write in progress, in ms; 0 if there is none.
   */
  observeLeader(
    state: replicaStates.ReplicaState,
    hasAuthority: boolean,
    writingMs: number,
  ): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#leaderMonitor.observe(state, hasAuthority, nowMs, writingMs);
  }

  /** Reports each change of the replica once. */
  observe(state: replicaStates.ReplicaState, hasAuthority: boolean): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#observeRole(state);
    this.#observeVoters(state);
    this.#observeAdmission(state, nowMs);
    this.#catchUps.observe(state, nowMs);
    this.#leaderMonitor.observe(state, hasAuthority, nowMs, 0);
    this.#observeAuthority(state, hasAuthority, nowMs);
  }

  /** Describes the replica's health, including why it has no authority. */
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
