import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";

/** Name of the call that asks for the founders of a replica set. */
export const FOUNDING_METHOD = "group.applyForFounding";

/** Time without a new applicant after which founders are chosen, in ms. */
const QUIET_MS = 1_000;
/** Longest wait for as many applicants as losses need, in ms. */
const PATIENCE_MS = 6_000;

/** A box with an empty disk that could found a replica set. */
export interface Applicant {
  readonly group: string;
  readonly id: string;
  readonly failureDomain: string;
  /** Voters that the set should have, if there are so many. */
  readonly wanted: number;
  /** Applicants without whom founders are chosen only after long patience. */
  readonly least: number;
}

/** Answers an applicant. */
export type FoundingReply =
  | { readonly kind: "wait" }
  | { readonly kind: "founded"; readonly voters: readonly string[] }
  /** This box does not choose founders; its process is not a first one. */
  | { readonly kind: "refused" };

interface GroupDesk {
  readonly applicants: readonly Applicant[];
  readonly firstAtMs: number;
  readonly lastAtMs: number;
  readonly voters: readonly string[] | undefined;
}

/**
 * Chooses founders over as many failure domains as there are.
 *
 * @param applicants All applicants of a group.
 * @returns Ids of the founders: an odd number, at most as many as wanted.
 */
export function chooseFounders(
  applicants: readonly Applicant[],
): readonly string[] {
  const sorted = [...applicants].sort((a, b) => a.id < b.id ? -1 : 1);
  const seen = new Map<string, number>();
  const ranked = sorted.map((applicant) => {
    const rank = seen.get(applicant.failureDomain) ?? 0;
    seen.set(applicant.failureDomain, rank + 1);
    return { id: applicant.id, rank };
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
export class FoundingDesk {
  readonly #clock: clocks.Clock;
  readonly #log: logs.Log;
  readonly #isFirstStart: boolean;
  readonly #groups = new Map<string, GroupDesk>();

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
      FOUNDING_METHOD,
      (applicant: Applicant) => this.apply(applicant),
    );
  }

  /** Takes an application, which is repeated until founders are chosen. */
  apply(applicant: Applicant): FoundingReply {
    if (!this.#isFirstStart) return { kind: "refused" };
    const nowMs = this.#clock.getMonotonicMs();
    const desk = this.#enter(applicant, nowMs);
    if (desk.voters !== undefined) {
      return { kind: "founded", voters: desk.voters };
    }
    const isEnough = desk.applicants.length >= applicant.least ||
      nowMs - desk.firstAtMs > PATIENCE_MS;
    if (!isEnough || nowMs - desk.lastAtMs < QUIET_MS) return { kind: "wait" };
    const voters = chooseFounders(desk.applicants);
    this.#groups.set(applicant.group, { ...desk, voters });
    this.#log.write("info", "group.founded", {
      group: applicant.group,
      voters: voters.join(","),
    });
    return { kind: "founded", voters };
  }

  #enter(applicant: Applicant, nowMs: number): GroupDesk {
    const known = this.#groups.get(applicant.group);
    if (known === undefined) {
      const desk: GroupDesk = {
        applicants: [applicant],
        firstAtMs: nowMs,
        lastAtMs: nowMs,
        voters: undefined,
      };
      this.#groups.set(applicant.group, desk);
      return desk;
    }
    if (known.applicants.some((other) => other.id === applicant.id)) {
      return known;
    }
    const desk: GroupDesk = {
      ...known,
      applicants: [...known.applicants, applicant],
      lastAtMs: nowMs,
    };
    this.#groups.set(applicant.group, desk);
    return desk;
  }
}
