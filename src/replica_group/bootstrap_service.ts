import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";

/** RPC method that asks for the initial voters of a replica group. */
export const BOOTSTRAP_METHOD = "group.applyForFounding";

/** Time without a new box after which the voters are chosen, in ms. */
const SETTLE_MS = 1_000;
/** Longest wait for the number of requests named by `least`, in ms. */
const MAX_WAIT_MS = 6_000;

/** Request of a box with an empty disk to be an initial voter. */
export interface BootstrapRequest {
  /** Name of the replica group. */
  readonly group: string;
  /** Id of the box. */
  readonly id: string;
  readonly failureDomain: string;
  /** Largest number of initial voters. */
  readonly wanted: number;
  /** Number of boxes to wait for, within a bounded time. */
  readonly least: number;
}

/** Reply to a bootstrap request. */
export type BootstrapReply =
  /** The voters are not chosen yet; the request is to be repeated. */
  | { readonly kind: "wait" }
  | { readonly kind: "founded"; readonly voters: readonly string[] }
  /** This box has been started before, so it may not choose voters. */
  | { readonly kind: "refused" };

/** Requests for one replica group; times are monotonic. */
interface BootstrapState {
  readonly requests: readonly BootstrapRequest[];
  readonly firstRequestMs: number;
  readonly lastRequestMs: number;
  /** The initial voters; undefined until they are chosen. */
  readonly voters: readonly string[] | undefined;
}

/**
 * Chooses the initial voters, spread over as many failure domains as possible.
 *
 * @param requests All requests for a group.
 * @returns Ids of the voters: an odd number, at most as many as wanted.
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
 * Chooses the initial voters of each replica group, once per deployment. It
 * refuses requests after a restart of its box, since another choice would start
 * a second group beside the first.
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

  /**
   * Handles a request for the initial voters of a group. Once they are chosen,
   * every request gets the same answer.
   */
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
