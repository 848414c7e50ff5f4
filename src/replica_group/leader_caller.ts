import * as clocks from "../clock/mod.ts";
import * as results from "../results/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as notLeaders from "./not_leader.ts";
import * as retryPauses from "./_retry_pause.ts";

/** Last attempts of a failed call that its log line shows. */
const MAX_LOGGED_ATTEMPTS = 4;
/** Replicas of a failed call whose last answer its log line shows. */
const MAX_LOGGED_REPLICAS = 12;

/** Answer of a leader whose change was not confirmed by a quorum in time. */
export interface UnconfirmedChange {
  readonly kind: "unsure";
  /** Whether the change may still be applied. */
  readonly mayHaveRun: boolean;
}

/** An answer after which the call is retried. */
type RetryableAnswer = notLeaders.NotLeader | UnconfirmedChange;

/** Options of a leader caller. */
export interface LeaderCallerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  /** Ids of the replicas to try, best first. */
  readonly listReplicas: () => readonly string[];
  /** Id of the leader as last published in the fleet, if known. */
  readonly findLeader: () => string | undefined;
  /** Returns the RPC client of a replica, by id. */
  readonly getClient: (id: string) => rpc.Peer;
  /** Returns a random number in [0, 1), to spread attempts of many callers. */
  readonly draw?: () => number;
}

/** Timeouts of a call. */
export interface CallTimeouts {
  /** Total time for all attempts, in ms. */
  readonly totalMs: number;
  /** Time for one attempt, in ms; a suspended replica never answers. */
  readonly tryMs: number;
}

/** Options of a call. */
export interface CallOptions extends CallTimeouts {
  /**
   * Method that only a leader answers, for a call too large to be sent again to
   * replicas that may not lead: after a refusal it is asked first.
   */
  readonly probeMethod?: string;
}

/** Options of one attempt. */
interface AttemptOptions {
  /** Method to call first; undefined for none. */
  readonly probeMethod: string | undefined;
  readonly timeoutMs: number;
}

/** The attempts of one call so far. */
interface CallState {
  /** Whether any attempt may have been carried out. */
  readonly mayHaveRun: boolean;
  readonly attempts: number;
  /** Last attempts as `replica:answer`, oldest first. */
  readonly lastAttempts: readonly string[];
  /** Last answer of each replica, by id, least recently asked first. */
  readonly lastAnswers: ReadonlyMap<string, string>;
}

const INITIAL_CALL_STATE: CallState = {
  mayHaveRun: false,
  attempts: 0,
  lastAttempts: [],
  lastAnswers: new Map(),
};

/** Calls the leader of a replica group, and finds it by trying replicas. */
export class LeaderCaller {
  readonly #options: LeaderCallerOptions;
  #leader: string | undefined;
  /** Replica of the last attempt that failed or was refused. */
  #lastNonLeader: string | undefined;
  /** Round-robin counter; attempts at a reported leader do not advance it. */
  #nextReplicaIndex = 0;

  constructor(options: LeaderCallerOptions) {
    this.#options = options;
  }

  /**
   * Calls a method of the leader, with retries until it answers or the total
   * time is over. The call may be carried out more than once.
   *
   * @param method Name of the RPC method.
   * @param params Its parameters.
   * @param options Limits on the whole call and on each attempt.
   * @returns The answer; a failure `noLeader` if the call certainly did not run,
   * or `changeUnknown` if it may have.
   */
  async call<T extends { readonly kind: string }>(
    method: string,
    params: object,
    options: CallOptions,
  ): Promise<results.Result<Exclude<T, RetryableAnswer>>> {
    const { clock, draw } = this.#options;
    const { totalMs, tryMs, probeMethod } = options;
    const deadlineMs = clock.getMonotonicMs() + totalMs;
    let state = INITIAL_CALL_STATE;
    for (;;) {
      const remainingMs = deadlineMs - clock.getMonotonicMs();
      if (remainingMs <= 0) return this.#reportFailure(method, state);
      const replica = this.#pickReplica();
      const answer = await this.#makeAttempt<T>(replica, method, params, {
        probeMethod: state.attempts === 0 ? undefined : probeMethod,
        timeoutMs: Math.min(tryMs, remainingMs),
      });
      if (answer.kind === "ok" && isFinal(answer.value)) {
        return results.createOk(answer.value as Exclude<T, RetryableAnswer>);
      }
      state = recordAttempt(state, replica, answer);
      const pauseMs = retryPauses.computePauseMs(state.attempts, draw?.());
      const leftMs = Math.max(0, deadlineMs - clock.getMonotonicMs());
      await clocks.sleep(clock, Math.min(pauseMs, leftMs));
    }
  }

  /** Makes one attempt, which may begin with a probe in the same time. */
  async #makeAttempt<T extends { readonly kind: string }>(
    id: string | undefined,
    method: string,
    params: object,
    { probeMethod, timeoutMs }: AttemptOptions,
  ): Promise<results.Result<T | RetryableAnswer>> {
    const { clock } = this.#options;
    const endMs = clock.getMonotonicMs() + timeoutMs;
    if (probeMethod !== undefined) {
      const probed = await this.#callOnce<T>(id, probeMethod, {}, timeoutMs);
      // A probe changes nothing, so its outcome is never unknown.
      if (probed.kind === "failure") return toNotRun(probed);
      if (!isFinal(probed.value)) return probed;
    }
    const leftMs = endMs - clock.getMonotonicMs();
    if (leftMs <= 0) {
      return results.createFailure("noLeader", "The probe took all the time");
    }
    return await this.#callOnce<T>(id, method, params, leftMs);
  }

  /**
   * Logs the attempts of a call and creates its failure. Records may cut a line
   * short, so why each replica does not lead comes first.
   */
  #reportFailure(
    method: string,
    state: CallState,
  ): { readonly kind: "failure"; readonly failure: results.Failure } {
    this.#options.log.write("warn", "leader.unfound", {
      method,
      replicas: this.#options.listReplicas().length,
      tries: state.attempts,
      said: [...state.lastAnswers].map(([id, text]) => `${id}:${text}`).join(
        ",",
      ),
      lastTried: state.lastAttempts.join(","),
    });
    return createCallFailure(method, state);
  }

  /** Makes one attempt and learns from it which replica may lead. */
  async #callOnce<T extends { readonly kind: string }>(
    id: string | undefined,
    method: string,
    params: object,
    timeoutMs: number,
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
   * Picks the leader that a replica named, else the one published in the fleet,
   * else the next replica in turn. Trying the published leader first spares a
   * new caller from asking many replicas that do not vote: with 30 store boxes, 5
   * of them voters, a first call would take up to 1.6 s.
   */
  #pickReplica(): string | undefined {
    if (this.#leader !== undefined) return this.#leader;
    const reported = this.#options.findLeader();
    if (reported !== undefined && reported !== this.#lastNonLeader) {
      return reported;
    }
    return this.#getNextReplica();
  }

  /** Returns the next replica in round-robin order. */
  #getNextReplica(): string | undefined {
    const ids = this.#options.listReplicas();
    return ids[this.#nextReplicaIndex % Math.max(1, ids.length)];
  }

  /**
   * Updates the known leader after an attempt that did not reach it.
   *
   * @param replica Replica that was asked.
   * @param reported Leader that it named, if any.
   * @param isNextReplica Whether it was the next one in round-robin order.
   */
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

/** Reports whether an answer ends its call. */
function isFinal(reply: { readonly kind: string }): boolean {
  return reply.kind !== "notLeader" && reply.kind !== "unsure";
}

function toNotRun(
  { failure }: results.Result<never> & { readonly kind: "failure" },
): results.Result<never> {
  return { kind: "failure", failure: { ...failure, outcome: "notRun" } };
}

/** Reports whether an attempt without a final answer may have run. */
function hasUnknownOutcome(
  answer: results.Result<{ readonly kind: string }>,
): boolean {
  if (answer.kind === "failure") return answer.failure.outcome !== "notRun";
  return answer.value.kind === "unsure" &&
    (answer.value as UnconfirmedChange).mayHaveRun;
}

/** Adds an attempt without a final answer to the state of its call. */
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

/** Describes an answer that did not end its call, for the log line. */
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
