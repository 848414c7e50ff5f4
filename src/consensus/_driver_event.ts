import type * as csp from "../csp/mod.ts";
import type * as results from "../results/mod.ts";
import type * as replicaStates from "./replica_state.ts";

const MAX_EVENTS_A_ROUND = 512;

/** Told what became of a proposal. */
export type Settle = (result: results.Result<unknown>) => void;

/** A command that waits to be proposed. */
export interface Proposal {
  readonly kind: "proposal";
  readonly command: unknown;
  readonly settle: Settle;
}

/** What waits in a driver's inbox. */
export type DriverEvent =
  | { readonly kind: "replica"; readonly event: replicaStates.ReplicaEvent }
  | Proposal;

/** Takes what waits in the inbox, so that one sync serves many events. */
export function collectRound(
  inbox: csp.Channel<DriverEvent>,
  first: DriverEvent,
): readonly DriverEvent[] {
  const round: DriverEvent[] = [first];
  while (round.length < MAX_EVENTS_A_ROUND) {
    const next = inbox.poll();
    if (next === undefined) break;
    round.push(next);
  }
  return round;
}
