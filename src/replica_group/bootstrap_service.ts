import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";

/** Name of the call that asks for the founders of a replica set. */
export const BOOTSTRAP_METHOD = "group.applyForFounding";

/** Time without a new applicant after which founders are chosen, in ms. */
const SETTLE_MS = 1_000;
/** Longest wait for as many applicants as losses need, in ms. */
const MAX_WAIT_MS = 6_000;

/** A box with an empty disk that could found a replica set. */
export interface BootstrapRequest {
  readonly group: string;
  readonly id: string;
  readonly failureDomain: string;
  /** Voters that the set should have, if there are so many. */
  readonly wanted: number;
  /** Applicants without whom founders are chosen only after long patience. */
  readonly least: number;
}

/** Answers an applicant. */
export type BootstrapReply =
  | { readonly kind: "wait" }
  | { readonly kind: "founded"; readonly voters: readonly string[] }
  /** This box does not choose founders; its process is not a first one. */
  | { readonly kind: "refused" };

interface BootstrapState {
  readonly requests: readonly BootstrapRequest[];
  readonly firstRequestMs: number;
  readonly lastRequestMs: number;
  readonly voters: readonly string[] | undefined;
}

/**
 * Chooses founders over as many failure domains as there are.
 *
 * @param requests All applicants of a group.
 * @returns Ids of the founders: an odd number, at most as many as wanted.
 */
export function chooseInitialVoters(
  requests: readonly BootstrapRequest[],
): readonly string[] {
  const sorted = [...requests].sort((a, b) => a.id < b.id ? -1 : 1);
  const domainCounts = new Map<string, number>();
  const ranked = sorted.map((request) => {
    const rank = domainCounts.get(request.failureDomain) ?? 0;
    domainCounts.set(request.failureDomain, rank + 1);
    return { id: request.id, rank };
  }).sort((a, b) => a.rank - b.rank);
  const wanted = sorted[0]?.wanted ?? 0;
  const count = Math.min(wanted, ranked.length);
  const odd = count % 2 === 0 ? count - 1 : count;
  return ranked.slice(0, odd).map((item) => item.id);
}

/**
 * Chooses once who founds each replica set of a deployment. It works only in
 * the first process of a box, so a restart never chooses a second time.
 */
export class BootstrapService {
  readonly #clock: clocks.Clock;
  readonly #log: logs.Log;
  readonly #isFirstStart: boolean;
  readonly #groups = new Map<string, BootstrapState>();

  constructor(options: {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly server: rpc.MethodRegistry;
    readonly isFirstStart: boolean;
  }) {
    this.#clock = options.clock;
    this.#log = options.log;
    this.#isFirstStart = options.isFirstStart;
    options.server.add(
      BOOTSTRAP_METHOD,
      (request: BootstrapRequest) => this.handleRequest(request),
    );
  }

  /** Takes an application, which is repeated until founders are chosen. */
  handleRequest(request: BootstrapRequest): BootstrapReply {
    if (!this.#isFirstStart) return { kind: "refused" };
    const nowMs = this.#clock.getMonotonicMs();
    const state = this.#recordRequest(request, nowMs);
    if (state.voters !== undefined) {
      return { kind: "founded", voters: state.voters };
    }
    const hasEnough = state.requests.length >= request.least ||
      nowMs - state.firstRequestMs > MAX_WAIT_MS;
    if (!hasEnough || nowMs - state.lastRequestMs < SETTLE_MS) {
      return { kind: "wait" };
    }
    const voters = chooseInitialVoters(state.requests);
    this.#groups.set(request.group, { ...state, voters });
    this.#log.write("info", "group.founded", {
      group: request.group,
      voters: voters.join(","),
    });
    return { kind: "founded", voters };
  }

  #recordRequest(request: BootstrapRequest, nowMs: number): BootstrapState {
    const previous = this.#groups.get(request.group);
    if (previous === undefined) {
      const created: BootstrapState = {
        requests: [request],
        firstRequestMs: nowMs,
        lastRequestMs: nowMs,
        voters: undefined,
      };
      this.#groups.set(request.group, created);
      return created;
    }
    if (previous.requests.some((other) => other.id === request.id)) {
      return previous;
    }
    const updated: BootstrapState = {
      ...previous,
      requests: [...previous.requests, request],
      lastRequestMs: nowMs,
    };
    this.#groups.set(request.group, updated);
    return updated;
  }
}
