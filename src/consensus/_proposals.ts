import type * as clocks from "../clock/mod.ts";
import * as results from "../results/mod.ts";
import type * as driverEvents from "./_driver_event.ts";
import type * as replicaLogs from "./replica_log.ts";

/** When a proposal may come again that the inbox had no room for, in ms. */
const OVERLOADED_RETRY_MS = 100;

/** A proposal that waits to be committed. */
export interface PendingProposal {
  readonly index: number;
  readonly term: number;
  readonly settle: (result: results.Result<unknown>) => void;
}

/** The proposals of this replica that are not yet settled. */
export class ProposalTable {
  readonly #pending = new Map<number, PendingProposal>();

  /** Adds a proposal; one that waited at its index was overwritten. */
  add(proposal: PendingProposal): void {
    const old = this.#pending.get(proposal.index);
    if (old !== undefined) rejectOverwritten(old);
    this.#pending.set(proposal.index, proposal);
  }

  /** Adds proposals whose commands a leader appends from an index on. */
  addAll(
    firstIndex: number,
    term: number,
    proposals: readonly driverEvents.Proposal[],
  ): void {
    proposals.forEach(({ settle }, offset) => {
      this.add({ index: firstIndex + offset, term, settle });
    });
  }

  /** Settles the proposal at a committed entry. */
  settle(entry: replicaLogs.Entry, answer: unknown): void {
    const proposal = this.#pending.get(entry.index);
    if (proposal === undefined) return;
    this.#pending.delete(entry.index);
    if (proposal.term !== entry.term) return rejectOverwritten(proposal);
    proposal.settle(results.createOk(answer));
  }

  /** Gives up proposals that a snapshot covers; what became of them is unknown. */
  dropUpTo(index: number): void {
    for (const [at, proposal] of this.#pending) {
      if (at > index) continue;
      this.#pending.delete(at);
      proposal.settle(results.createFailure(
        "changeUnknown",
        "Cannot confirm the change: a snapshot replaced the log",
        { outcome: "unknown" },
      ));
    }
  }
}

function rejectOverwritten(proposal: PendingProposal): void {
  proposal.settle(results.createFailure(
    "notLeader",
    "Cannot accept the change: another leader replaced it",
  ));
}

/**
 * Makes a proposal and waits for what becomes of it.
 *
 * @param timeoutMs How long to wait for it to be committed.
 * @param offer Gives it to the replica; false where there is no room.
 * @returns What became of it.
 */
export function awaitProposal(
  clock: clocks.Clock,
  timeoutMs: number,
  offer: (settle: driverEvents.Settle) => boolean,
): Promise<results.Result<unknown>> {
  return new Promise((resolve) => {
    const cancel = clock.startTimer(timeoutMs, () => {
      resolve(createUnconfirmed());
    });
    function settle(result: results.Result<unknown>): void {
      cancel();
      resolve(result);
    }
    if (!offer(settle)) settle(createOverloaded());
  });
}

/** Tells proposals that this replica does not lead. */
export function rejectProposals(
  proposals: readonly driverEvents.Proposal[],
  leader: string | undefined,
): void {
  for (const { settle } of proposals) settle(createNotLeader(leader));
}

/** Gives what is told of a proposal that the inbox has no room for. */
function createOverloaded(): results.Result<never> {
  return results.createFailure(
    "overloaded",
    "Cannot accept the change: the inbox is full",
    { retryAfterMs: OVERLOADED_RETRY_MS },
  );
}

/** Gives what is told of a proposal whose commit was not seen in time. */
function createUnconfirmed(): results.Result<never> {
  return results.createFailure(
    "changeUnknown",
    "Cannot confirm the change: no quorum answered in time",
    { outcome: "unknown" },
  );
}

/** Gives what is told of a proposal to a replica that does not lead. */
function createNotLeader(
  leader: string | undefined,
): results.Result<never> {
  return results.createFailure(
    "notLeader",
    `Cannot accept the change: the leader is ${leader ?? "unknown"}`,
  );
}
