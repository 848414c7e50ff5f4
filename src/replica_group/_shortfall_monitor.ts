import type * as consensus from "../consensus/mod.ts";
import type * as logs from "../log/mod.ts";
import * as shortfalls from "./describe_shortfall.ts";
import type * as planVoters from "./plan_voters.ts";
import type * as replicaGroups from "./replica_group.ts";

/** Shortest time between two lines while the group is short, in ms. */
const LINE_INTERVAL_MS = 1_000;
/**
 * Time without leading up to which the last judgement still holds, in ms. While
 * other replicas lead, the group may become whole unseen; it is unlikely to do so
 * and to lose another disk within this time.
 */
const MAX_JUDGEMENT_AGE_MS = 3_000;

type MonitorOptions = Pick<
  replicaGroups.ReplicaGroupOptions,
  "name" | "clock" | "log" | "minVoters"
>;

/**
 * Measures for how long a group has not borne the next lost disks, and logs what
 * it waits for.
 *
 * Only a leader with authority can judge that. A replica that follows, or leads
 * without authority, knows no more than its last judgement. It goes on with the
 * time of that one if it leads again soon; else the time begins anew. So a new
 * leader may tell too short a time, and the lines of all replicas must be read
 * together. For that, each leadership logs how it begins, also if it begins whole.
 */
export class ShortfallMonitor {
  readonly #options: MonitorOptions;
  /** Monotonic time since which the group is short, in ms; undefined if not. */
  #shortSinceMs: number | undefined;
  /** Term of the last judgement; undefined if none holds. */
  #judgedTerm: number | undefined;
  /** Monotonic time up to which the last judgement was known to hold, in ms. */
  #heldAtMs = Number.NEGATIVE_INFINITY;
  /** Term in which the last line told that the group is whole, if it did. */
  #loggedWholeTerm: number | undefined;
  /** Monotonic time before which no line of a short group is logged, in ms. */
  #nextLineAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: MonitorOptions) {
    this.#options = options;
  }

  /**
   * Judges the group and logs what is due; must be called at short intervals.
   *
   * @param health State of this replica.
   * @param plan What the leader plans its voters from; undefined unless this
   * replica has authority.
   * @returns Time for which the group is known to be short, in ms; 0 if it is
   * whole, undefined if that is not known.
   */
  observe(
    health: consensus.ReplicaHealth,
    plan: planVoters.VoterPlanInput | undefined,
  ): number | undefined {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (nowMs - this.#heldAtMs > MAX_JUDGEMENT_AGE_MS) this.#forget();
    if (plan !== undefined) this.#evaluate(health, plan, nowMs);
    const { role, term } = health;
    if (role === "leader" && term === this.#judgedTerm) this.#heldAtMs = nowMs;
    if (this.#judgedTerm === undefined) return undefined;
    return this.#measureShortMs(nowMs);
  }

  #forget(): void {
    this.#judgedTerm = undefined;
    this.#shortSinceMs = undefined;
    this.#loggedWholeTerm = undefined;
  }

  #measureShortMs(nowMs: number): number {
    return Math.round(nowMs - (this.#shortSinceMs ?? nowMs));
  }

  #evaluate(
    { set, term }: consensus.ReplicaHealth,
    plan: planVoters.VoterPlanInput,
    nowMs: number,
  ): void {
    this.#judgedTerm = term;
    const strength = shortfalls.describeShortfall({
      plan,
      isSetCommitted: set.isCommitted,
      lossesToBear: Math.floor((this.#options.minVoters - 1) / 2),
    });
    switch (strength.kind) {
      case "whole":
        return this.#recordWhole(strength, term, nowMs);
      case "short":
        return this.#recordShort(strength, term, nowMs);
    }
  }

  /** Logs the end of a logged shortfall, and that a leadership begins whole. */
  #recordWhole(
    count: shortfalls.VoterCount,
    term: number,
    nowMs: number,
  ): void {
    const shortMs = this.#measureShortMs(nowMs);
    this.#shortSinceMs = undefined;
    if (this.#loggedWholeTerm === term) return;
    this.#loggedWholeTerm = term;
    const { log, name } = this.#options;
    log.write("info", "group.whole", {
      group: name,
      shortMs,
      ...describeCount(count),
      term,
    });
  }

  /** Logs at intervals that the group is short. */
  #recordShort(
    { needs, ...count }: shortfalls.Shortfall,
    term: number,
    nowMs: number,
  ): void {
    this.#shortSinceMs ??= nowMs;
    if (nowMs < this.#nextLineAtMs) return;
    this.#nextLineAtMs = nowMs + LINE_INTERVAL_MS;
    this.#loggedWholeTerm = undefined;
    const { log, name } = this.#options;
    log.write("warn", "group.short", {
      group: name,
      sinceMs: this.#measureShortMs(nowMs),
      waitsFor: needs.map(describeNeed).join(","),
      ...describeCount(count),
      term,
    });
  }
}

function describeCount(
  { voters, counted, lossesLeft }: shortfalls.VoterCount,
): logs.LogFields {
  return {
    lossesLeft,
    counted: counted.join(","),
    voters: voters.join(","),
  };
}

function describeNeed(need: shortfalls.Need): string {
  switch (need.kind) {
    case "change":
      return "change";
    case "unadmittedVoter":
      return `${need.id}:notAdmitted:lag${need.lag}`;
    case "silentVoter":
      return `${need.id}:${describeSilence(need.silentMs)}`;
    case "learner":
      return `${need.id}:learner:lag${need.lag}:${
        describeSilence(need.silentMs)
      }`;
    case "spare":
      return `${need.id}:spare`;
    case "noBox":
      return "noBox";
  }
}

function describeSilence(silentMs: number): string {
  return Number.isFinite(silentMs) ? `silent${silentMs}ms` : "unheard";
}
