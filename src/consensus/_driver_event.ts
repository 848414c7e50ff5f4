import type * as csp from "../csp/mod.ts";
import type * as results from "../results/mod.ts";
import type * as replicaStates from "./replica_state.ts";

const MAX_BATCH_EVENTS = 512;

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
export function collectBatch(
  inbox: csp.Channel<DriverEvent>,
  first: DriverEvent,
): readonly DriverEvent[] {
  const batch: DriverEvent[] = [first];
  while (batch.length < MAX_BATCH_EVENTS) {
    const next = inbox.poll();
    if (next === undefined) break;
    batch.push(next);
  }
  return batch;
}
