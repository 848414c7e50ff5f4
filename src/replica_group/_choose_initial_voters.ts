import * as consensus from "../consensus/mod.ts";
import type * as messages from "./founding_message.ts";

/**
 * Returns the fewest initial voters of a group that expects `least` boxes: a
 * majority of them, and so never one where more are expected.
 */
export function computeFewestVoters(least: number): number {
  return consensus.computeMajority(least);
}

/**
 * Chooses the initial voters, spread over as many failure domains as possible.
 *
 * @param requests All requests for a group.
 * @returns Ids of the voters: at most as many as wanted, and an odd number unless
 * that would be too few.
 */
export function chooseInitialVoters(
  requests: readonly messages.BootstrapRequest[],
): readonly string[] {
  const sorted = [...requests].sort((a, b) => a.id < b.id ? -1 : 1);
  const domainCounts = new Map<string, number>();
  const ranked = sorted.map((request) => {
    const rank = domainCounts.get(request.failureDomain) ?? 0;
    domainCounts.set(request.failureDomain, rank + 1);
    return { id: request.id, rank };
  }).sort((a, b) => a.rank - b.rank);
  const { wanted, least } = sorted[0] ?? { wanted: 0, least: 0 };
  const count = Math.min(wanted, ranked.length);
  const odd = count % 2 === 0 ? count - 1 : count;
  const voters = Math.max(odd, Math.min(count, computeFewestVoters(least)));
  return ranked.slice(0, voters).map((item) => item.id);
}
