import * as clocks from "../clock/mod.ts";
import * as results from "../results/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as notLeaders from "./not_leader.ts";

/** Pause between two tries, in ms; an election takes some hundred. */
const RETRY_MS = 40;

/** Tries that the log tells of a call without an answer. */
const TOLD_TRIES = 4;
/** Replicas of which the log tells what they said last. */
const TOLD_REPLICAS = 12;

/** The answer of a leader whose change no quorum confirmed in time. */
export interface Unsure {
  readonly kind: "unsure";
  readonly mayHaveRun: boolean;
}

/** An answer after which the call is tried again. */
type NotDone = notLeaders.NotLeader | Unsure;

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
export interface CallTimes {
  /** For all tries together, in ms. */
  readonly totalMs: number;
  /** For one replica, which may be frozen, in ms. */
  readonly tryMs: number;
}

interface CallState {
  readonly mayHaveRun: boolean;
  readonly tries: number;
  /** Replicas that were asked last, in order, with what they said. */
  readonly lastTried: readonly string[];
  /** What each of the replicas asked last said, the one asked last at the end. */
  readonly said: ReadonlyMap<string, string>;
}

const NO_TRIES: CallState = {
  mayHaveRun: false,
  tries: 0,
  lastTried: [],
  said: new Map(),
};

/** Calls the leader of a replica group, whichever replica that is. */
export class LeaderCaller {
  readonly #options: LeaderCallerOptions;
  #leader: string | undefined;
  /** Replica that was asked last and did not take the call. */
  #doubted: string | undefined;
  /** Turns of the round; asks that a name steered are none. */
  #turn = 0;

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
    times: CallTimes,
  ): Promise<results.Result<Exclude<T, NotDone>>> {
    const { clock } = this.#options;
    const endMs = clock.getMonotonicMs() + times.totalMs;
    let state = NO_TRIES;
    for (;;) {
      const leftMs = endMs - clock.getMonotonicMs();
      if (leftMs <= 0) return this.#giveUp(method, state);
      const replica = this.#pickReplica();
      const answer = await this.#callOnce<T>(replica, method, params, {
        timeoutMs: Math.min(times.tryMs, leftMs),
      });
      if (answer.kind === "ok" && isDone(answer.value)) {
        return results.createOk(answer.value as Exclude<T, NotDone>);
      }
      state = noteTry(state, replica, answer);
      await clocks.sleep(clock, RETRY_MS);
    }
  }

  #giveUp(
    method: string,
    state: CallState,
  ): { readonly kind: "failure"; readonly failure: results.Failure } {
    this.#options.log.write("warn", "leader.unfound", {
      method,
      replicas: this.#options.listReplicas().length,
      tries: state.tries,
      lastTried: state.lastTried.join(","),
      said: [...state.said].map(([id, text]) => `${id}:${text}`).join(","),
    });
    return createCallFailure(method, state);
  }

  async #callOnce<T extends { readonly kind: string }>(
    id: string | undefined,
    method: string,
    params: object,
    { timeoutMs }: { readonly timeoutMs: number },
  ): Promise<results.Result<T | NotDone>> {
    if (id === undefined) {
      return results.createFailure("noLeader", "Cannot find any replica");
    }
    const isTurn = id === this.#findTurn();
    try {
      const client = this.#options.getClient(id);
      const reply = await client.call<T | NotDone>(method, params, timeoutMs);
      if (reply.kind === "notLeader") {
        const { leader } = reply as notLeaders.NotLeader;
        this.#noteLeader(id, leader, isTurn);
      } else this.#leader = id;
      return results.createOk(reply);
    } catch (error) {
      this.#noteLeader(id, undefined, isTurn);
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
    const told = this.#options.findLeader();
    if (told !== undefined && told !== this.#doubted) return told;
    return this.#findTurn();
  }

  /** The replica whose turn it is in the round of all. */
  #findTurn(): string | undefined {
    const ids = this.#options.listReplicas();
    return ids[this.#turn % Math.max(1, ids.length)];
  }

  #noteLeader(
    asked: string,
    told: string | undefined,
    isTurn: boolean,
  ): void {
    if (isTurn) this.#turn += 1;
    this.#doubted = asked;
    this.#leader = told === asked ? undefined : told;
  }
}

function isDone(reply: { readonly kind: string }): boolean {
  return reply.kind !== "notLeader" && reply.kind !== "unsure";
}

/** Tells whether a try may have been carried out without a clear answer. */
function hasMaybeRun(
  tried: results.Result<{ readonly kind: string }>,
): boolean {
  if (tried.kind === "failure") return tried.failure.outcome !== "notRun";
  return tried.value.kind === "unsure" && (tried.value as Unsure).mayHaveRun;
}

/** Adds a try that did not end its call to what is known of the call. */
function noteTry(
  state: CallState,
  replica: string | undefined,
  answer: results.Result<{ readonly kind: string }>,
): CallState {
  const name = replica ?? "none";
  const others = [...state.said].filter(([id]) => id !== name);
  return {
    mayHaveRun: state.mayHaveRun || hasMaybeRun(answer),
    tries: state.tries + 1,
    lastTried: [
      ...state.lastTried.slice(1 - TOLD_TRIES),
      `${replica}:${nameAnswer(answer)}`,
    ],
    said: new Map([
      ...others.slice(1 - TOLD_REPLICAS),
      [name, describeAnswer(answer)],
    ]),
  };
}

function nameAnswer(
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
  return nameAnswer(answer);
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
