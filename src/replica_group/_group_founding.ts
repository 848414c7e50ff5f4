import * as crypto from "node:crypto";
import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import * as chooseInitialVoters from "./_choose_initial_voters.ts";
import * as proposeFoundings from "./_propose_founding.ts";
import * as foundingAcceptors from "./founding_acceptor.ts";
import type * as messages from "./founding_message.ts";

/** Time without a new box after which the voters are chosen, in ms. */
const SETTLE_MS = 1_000;
/** Longest wait for the number of requests named by `least`, in ms. */
const MAX_WAIT_MS = 3_000;
/** Further wait of each seed after the one before it in the list, in ms. */
const TURN_MS = 700;
/** Time between two proposals of one seed for a group, in ms. */
const PROPOSAL_INTERVAL_MS = 500;
/** Bytes of a group's random id, which each message carries. */
const GROUP_ID_BYTES = 6;

/** This box among the seeds that agree on the initial voters. */
export interface FoundingMember {
  /** Id of this box. */
  readonly id: string;
  readonly seeds: proposeFoundings.FoundingSeeds;
}

/** Options of a `GroupFounding`. */
export interface GroupFoundingOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  /** The seeds that agree with this one; undefined if there are none. */
  readonly member?: FoundingMember;
}

/** A seed's part in choosing the initial voters of one replica group. */
export class GroupFounding {
  readonly acceptor = new foundingAcceptors.FoundingAcceptor();
  readonly #group: string;
  readonly #options: GroupFoundingOptions;
  #requests: readonly messages.BootstrapRequest[] = [];
  /** Monotonic, in ms. */
  #firstRequestMs = 0;
  #lastRequestMs = 0;
  /** What was decided; undefined until this seed knows it. */
  #founding: foundingAcceptors.Founding | undefined;
  #isProposing = false;
  /** Time before which this seed makes no further proposal, monotonic in ms. */
  #nextProposalMs = 0;
  /** Highest round known. */
  #round = 0;

  constructor(group: string, options: GroupFoundingOptions) {
    this.#group = group;
    this.#options = options;
  }

  /** Records a request, and may propose voters to all seeds. */
  handleRequest(request: messages.BootstrapRequest): messages.BootstrapReply {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#recordRequest(request, nowMs);
    if (this.#founding === undefined) this.#advance(nowMs);
    return this.#founding === undefined
      ? { kind: "wait" }
      : { kind: "founded", ...this.#founding };
  }

  #recordRequest(request: messages.BootstrapRequest, nowMs: number): void {
    if (this.#requests.some((other) => other.id === request.id)) return;
    if (this.#requests.length === 0) this.#firstRequestMs = nowMs;
    this.#requests = [...this.#requests, request];
    this.#lastRequestMs = nowMs;
  }

  /** Proposes voters once the requests have settled and it is this seed's turn. */
  #advance(nowMs: number): void {
    const { member } = this.#options;
    const turn = member?.seeds.ids.indexOf(member.id) ?? 0;
    const startMs = this.#lastRequestMs + SETTLE_MS +
      Math.max(0, turn) * TURN_MS;
    if (nowMs < startMs) return;
    if (member === undefined) return this.#chooseAlone();
    if (this.#isProposing || nowMs < this.#nextProposalMs) return;
    this.#isProposing = true;
    void this.#propose(member);
  }

  /** Chooses voters without other seeds, for the full number of boxes only. */
  #chooseAlone(): void {
    if (this.#requests.length < this.#getLeast()) return;
    const voters = chooseInitialVoters.chooseInitialVoters(this.#requests);
    this.#settle({ voters });
  }

  async #propose({ id, seeds }: FoundingMember): Promise<void> {
    const ballot = { round: this.#round + 1, proposer: id };
    const outcome = await proposeFoundings.proposeFounding({
      group: this.#group,
      ballot,
      seeds,
      decide: () => this.#decide(),
    });
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#isProposing = false;
    this.#nextProposalMs = nowMs + PROPOSAL_INTERVAL_MS;
    this.#round = outcome.kind === "failed"
      ? outcome.highestRound
      : ballot.round;
    if (outcome.kind === "chosen") this.#settle(outcome.founding);
  }

  /** Returns the founding to propose; undefined while too few boxes have asked. */
  #decide(): foundingAcceptors.Founding | undefined {
    const nowMs = this.#options.clock.getMonotonicMs();
    const least = this.#getLeast();
    const needed = nowMs - this.#firstRequestMs > MAX_WAIT_MS
      ? chooseInitialVoters.computeFewestVoters(least)
      : least;
    if (this.#requests.length < needed) return undefined;
    return {
      groupId: crypto.randomBytes(GROUP_ID_BYTES).toString("hex"),
      voters: chooseInitialVoters.chooseInitialVoters(this.#requests),
    };
  }

  #getLeast(): number {
    return this.#requests[0]?.least ?? 0;
  }

  #settle(founding: foundingAcceptors.Founding): void {
    this.#founding = founding;
    this.#options.log.write("info", "group.founded", {
      group: this.#group,
      groupId: founding.groupId,
      voters: founding.voters.join(","),
      asked: this.#requests.length,
    });
  }
}
