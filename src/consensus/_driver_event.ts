import type * as csp from "../csp/mod.ts";
import type * as results from "../results/mod.ts";
import type * as replicaStates from "./replica_state.ts";

const MAX_BATCH_EVENTS = 512;

/** Called once with the outcome of a proposal. */
export type Settle = (result: results.Result<unknown>) => void;

/** A command to propose, and the callback for its outcome. */
export interface Proposal {
  readonly kind: "proposal";
  readonly command: unknown;
  readonly settle: Settle;
}

/** An item of a driver's inbox. */
export type DriverEvent =
  | { readonly kind: "replica"; readonly event: replicaStates.ReplicaEvent }
  | Proposal;

/** Drains the inbox into one batch, so that one disk sync covers many events. */
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
