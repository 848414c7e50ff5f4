import * as clocks from "../clock/mod.ts";
import * as results from "../results/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as notLeaders from "./not_leader.ts";

/** Pause between two tries, in ms; an election takes some hundred. */
const RETRY_INTERVAL_MS = 40;

/** Tries that the log tells of a call without an answer. */
const MAX_LOGGED_ATTEMPTS = 4;
/** Replicas of which the log tells what they said last. */
const MAX_LOGGED_REPLICAS = 12;

/** The answer of a leader whose change no quorum confirmed in time. */
export interface UnconfirmedChange {
  readonly kind: "unsure";
  readonly mayHaveRun: boolean;
}

/** An answer after which the call is tried again. */
type RetryableAnswer = notLeaders.NotLeader | UnconfirmedChange;

/** What a leader caller needs. */
export interface LeaderCallerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  /** Ids of the replicas to try, best first. */
  readonly listReplicas: () => readonly string[];
  /** Id of the replica that the fleet's news name as the leader, if any. */
  readonly findLeader: () => string | undefined;
  readonly getClient: (id: string) => rpc.Peer;
}

/** How long a call is tried. */
export interface CallTimeouts {
  /** For all tries together, in ms. */
  readonly totalMs: number;
  /** For one replica, which may be frozen, in ms. */
  readonly tryMs: number;
}

interface CallState {
  readonly mayHaveRun: boolean;
  readonly attempts: number;
  /** Replicas that were asked last, in order, with what they said. */
  readonly lastAttempts: readonly string[];
  /** What each of the replicas asked last said, the one asked last at the end. */
  readonly lastAnswers: ReadonlyMap<string, string>;
}

const INITIAL_CALL_STATE: CallState = {
  mayHaveRun: false,
  attempts: 0,
  lastAttempts: [],
  lastAnswers: new Map(),
};

/** Calls the leader of a replica group, whichever replica that is. */
export class LeaderCaller {
  readonly #options: LeaderCallerOptions;
  #leader: string | undefined;
  /** Replica that was asked last and did not take the call. */
  #lastNonLeader: string | undefined;
  /** Turns of the round; asks that a name steered are none. */
  #nextReplicaIndex = 0;

  constructor(options: LeaderCallerOptions) {
    this.#options = options;
  }

  /**
   * Calls a method of the leader until it answers or the time is over. The
   * call may be carried out more than once.
   *
   * @returns The answer; `noLeader` if it surely did not run, else
   * `changeUnknown`.
   */
  async call<T extends { readonly kind: string }>(
    method: string,
    params: object,
    timeouts: CallTimeouts,
  ): Promise<results.Result<Exclude<T, RetryableAnswer>>> {
    const { clock } = this.#options;
    const deadlineMs = clock.getMonotonicMs() + timeouts.totalMs;
    let state = INITIAL_CALL_STATE;
    for (;;) {
      const remainingMs = deadlineMs - clock.getMonotonicMs();
      if (remainingMs <= 0) return this.#reportFailure(method, state);
      const replica = this.#pickReplica();
      const answer = await this.#callOnce<T>(replica, method, params, {
        timeoutMs: Math.min(timeouts.tryMs, remainingMs),
      });
      if (answer.kind === "ok" && isFinal(answer.value)) {
        return results.createOk(answer.value as Exclude<T, RetryableAnswer>);
      }
      state = recordAttempt(state, replica, answer);
      await clocks.sleep(clock, RETRY_INTERVAL_MS);
    }
  }

  #reportFailure(
    method: string,
    state: CallState,
  ): { readonly kind: "failure"; readonly failure: results.Failure } {
    this.#options.log.write("warn", "leader.unfound", {
      method,
      replicas: this.#options.listReplicas().length,
      tries: state.attempts,
      lastTried: state.lastAttempts.join(","),
      said: [...state.lastAnswers].map(([id, text]) => `${id}:${text}`).join(
        ",",
      ),
    });
    return createCallFailure(method, state);
  }

  async #callOnce<T extends { readonly kind: string }>(
    id: string | undefined,
    method: string,
    params: object,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<results.Result<T | RetryableAnswer>> {
    if (id === undefined) {
      return results.createFailure("noLeader", "Cannot find any replica");
    }
    const isNextReplica = id === this.#getNextReplica();
    try {
      const client = this.#options.getClient(id);
      const reply = await client.call<T | RetryableAnswer>(
        method,
        params,
        timeoutMs,
      );
      if (reply.kind === "notLeader") {
        const { leader } = reply as notLeaders.NotLeader;
        this.#updateLeader(id, leader, isNextReplica);
      } else this.#leader = id;
      return results.createOk(reply);
    } catch (error) {
      this.#updateLeader(id, undefined, isNextReplica);
      return { kind: "failure", failure: results.toFailure(error) };
    }
  }

  /**
   * The leader that a replica named, else the one that the news name, else one
   * replica after the other. Without the news a box that has not called before
   * asks one spare after the other: with 30 store boxes, 5 of them voters, steps
   * that came by such a box were accepted 0.9 to 1.6 s after they were sent.
   */
  #pickReplica(): string | undefined {
    if (this.#leader !== undefined) return this.#leader;
    const reported = this.#options.findLeader();
    if (reported !== undefined && reported !== this.#lastNonLeader) {
      return reported;
    }
    return this.#getNextReplica();
  }

  /** The replica whose turn it is in the round of all. */
  #getNextReplica(): string | undefined {
    const ids = this.#options.listReplicas();
    return ids[this.#nextReplicaIndex % Math.max(1, ids.length)];
  }

  #updateLeader(
    replica: string,
    reported: string | undefined,
    isNextReplica: boolean,
  ): void {
    if (isNextReplica) this.#nextReplicaIndex += 1;
    this.#lastNonLeader = replica;
    this.#leader = reported === replica ? undefined : reported;
  }
}

function isFinal(reply: { readonly kind: string }): boolean {
  return reply.kind !== "notLeader" && reply.kind !== "unsure";
}

/** Tells whether a try may have been carried out without a clear answer. */
function hasUnknownOutcome(
  answer: results.Result<{ readonly kind: string }>,
): boolean {
  if (answer.kind === "failure") return answer.failure.outcome !== "notRun";
  return answer.value.kind === "unsure" &&
    (answer.value as UnconfirmedChange).mayHaveRun;
}

/** Adds a try that did not end its call to what is known of the call. */
function recordAttempt(
  state: CallState,
  replica: string | undefined,
  answer: results.Result<{ readonly kind: string }>,
): CallState {
  const key = replica ?? "none";
  const others = [...state.lastAnswers].filter(([id]) => id !== key);
  return {
    mayHaveRun: state.mayHaveRun || hasUnknownOutcome(answer),
    attempts: state.attempts + 1,
    lastAttempts: [
      ...state.lastAttempts.slice(1 - MAX_LOGGED_ATTEMPTS),
      `${replica}:${getAnswerCode(answer)}`,
    ],
    lastAnswers: new Map([
      ...others.slice(1 - MAX_LOGGED_REPLICAS),
      [key, describeAnswer(answer)],
    ]),
  };
}

function getAnswerCode(
  answer: results.Result<{ readonly kind: string }>,
): string {
  return answer.kind === "ok" ? answer.value.kind : answer.failure.code;
}

/** Describes an answer that did not end its call, for the log. */
function describeAnswer(
  answer: results.Result<{ readonly kind: string }>,
): string {
  if (answer.kind === "ok" && answer.value.kind === "notLeader") {
    return notLeaders.describeNotLeader(answer.value as notLeaders.NotLeader);
  }
  return getAnswerCode(answer);
}

function createCallFailure(
  method: string,
  state: CallState,
): { readonly kind: "failure"; readonly failure: results.Failure } {
  if (state.mayHaveRun) {
    return results.createFailure(
      "changeUnknown",
      `Cannot confirm ${method}: no leader answered in time`,
      { outcome: "unknown", retryAfterMs: 300 },
    );
  }
  return results.createFailure(
    "noLeader",
    `Cannot call ${method}: no leader was found in time`,
    { retryAfterMs: 300 },
  );
}
