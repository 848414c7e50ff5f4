import type * as clocks from "../clock/mod.ts";
import * as feedingWatches from "./_feeding_watch.ts";
import * as leaderWatches from "./_leader_watch.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaOptions from "./replica_options.ts";
import * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";

/** What a teller needs. */
type TellerOptions = Pick<
  replicaOptions.ReplicaDriverOptions,
  "clock" | "onNotice"
>;

/** Tells what changed about a replica since it was looked at last. */
export class NoticeTeller {
  readonly #clock: clocks.Clock;
  readonly #tell: notices.NoticeHandler;
  #role = "";
  #voters = "";
  #hadAuthority = false;
  #wasAdmitted: boolean;
  readonly #openedAtMs: number;
  readonly #feeding: feedingWatches.FeedingWatch;
  readonly #leader: leaderWatches.LeaderWatch;

  /**
   * @param options Where notices go; none are told unless `onNotice` is given.
   * @param opened The replica as it was opened.
   */
  constructor(options: TellerOptions, opened: replicaStates.ReplicaState) {
    const { clock, onNotice = () => {} } = options;
    this.#clock = clock;
    this.#tell = onNotice;
    this.#wasAdmitted = opened.identity.isAdmitted;
    this.#openedAtMs = clock.getMonotonicMs();
    this.#feeding = new feedingWatches.FeedingWatch(onNotice);
    this.#leader = new leaderWatches.LeaderWatch(this.#openedAtMs, onNotice);
  }

  /** Notes an answer to a vote request, and tells of a refusal. */
  noteEvent(
    state: replicaStates.ReplicaState,
    event: replicaStates.ReplicaEvent,
  ): void {
    if (event.kind !== "message" || event.message.kind !== "voteReply") return;
    const { from, message: reply } = event;
    this.#leader.noteAnswer(state, from, reply, this.#clock.getMonotonicMs());
    const { refusal: reason, term } = reply;
    if (reason === undefined) return;
    this.#tell({ kind: "voteRefused", by: from, term, reason });
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
    this.#leader.observe(state, hasAuthority, nowMs, writingMs);
  }

  /** Looks at the replica; tells each change once. */
  observe(state: replicaStates.ReplicaState, hasAuthority: boolean): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#observeRole(state);
    this.#observeVoters(state);
    this.#observeAdmission(state, nowMs);
    this.#feeding.observe(state, nowMs);
    this.#leader.observe(state, hasAuthority, nowMs, 0);
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
    const leaderlessMs = this.#leader.getSinceMs(nowMs);
    const fedMs = this.#feeding.getLongestMs(nowMs);
    const times = { hasAuthority, leaderlessMs, writingMs, fedMs };
    return replicaStatuses.describeHealth(state, times, nowMs);
  }

  #observeRole(state: replicaStates.ReplicaState): void {
    const { term, role } = state;
    const leader = replicaStatuses.getLeader(state);
    const shown = `${role.kind} ${term} ${leader}`;
    if (shown === this.#role) return;
    this.#role = shown;
    this.#tell({ kind: "role", role: role.kind, term, leader });
  }

  #observeVoters(state: replicaStates.ReplicaState): void {
    const set = replicaStatuses.describeVoterSet(state);
    if (set.voters.length === 0) return;
    const shown = `${set.voters.join(",")} ${set.index} ${set.isCommitted}`;
    if (shown === this.#voters) return;
    this.#voters = shown;
    this.#tell({ kind: "voters", set, term: state.term });
  }

  #observeAdmission(state: replicaStates.ReplicaState, nowMs: number): void {
    const { identity, term, commitIndex } = state;
    if (identity.isAdmitted === this.#wasAdmitted) return;
    this.#wasAdmitted = identity.isAdmitted;
    this.#tell({
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
    this.#tell({ kind: "authority", hasAuthority, term, lastIndex, silent });
  }
}
