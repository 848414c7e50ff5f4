import type * as clocks from "../clock/mod.ts";
import * as results from "../results/mod.ts";
import type * as driverEvents from "./_driver_event.ts";
import type * as replicaLogs from "./replica_log.ts";

/** Delay to suggest before a retry if the inbox is full, in ms. */
const OVERLOADED_RETRY_MS = 100;

/** A proposal whose entry is not committed yet. */
export interface PendingProposal {
  readonly index: number;
  readonly term: number;
  readonly settle: (result: results.Result<unknown>) => void;
}

/** Pending proposals of this replica, by log index. */
export class ProposalTable {
  readonly #pending = new Map<number, PendingProposal>();

  /**
   * Adds a proposal; rejects one at the same index, whose entry was
   * overwritten.
   */
  add(proposal: PendingProposal): void {
    const old = this.#pending.get(proposal.index);
    if (old !== undefined) rejectOverwritten(old);
    this.#pending.set(proposal.index, proposal);
  }

  /** Adds proposals for consecutive entries from `firstIndex` on. */
  addAll(
    firstIndex: number,
    term: number,
    proposals: readonly driverEvents.Proposal[],
  ): void {
    proposals.forEach(({ settle }, offset) => {
      this.add({ index: firstIndex + offset, term, settle });
    });
  }

  /**
   * Settles the proposal at a committed entry's index with the state machine's
   * result; rejects it if another leader's entry took its place.
   */
  settle(entry: replicaLogs.Entry, answer: unknown): void {
    const proposal = this.#pending.get(entry.index);
    if (proposal === undefined) return;
    this.#pending.delete(entry.index);
    if (proposal.term !== entry.term) return rejectOverwritten(proposal);
    proposal.settle(results.createOk(answer));
  }

  /** Fails the proposals that a snapshot covers; their outcome is unknown. */
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
 * Submits a proposal and waits for its outcome.
 *
 * @param timeoutMs Longest wait for the commit, in ms.
 * @param offer Enqueues the proposal; returns false if the inbox is full.
 * @returns The state machine's result; `overloaded`, `notLeader` or `changeUnknown`
 * on failure.
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

/** Fails proposals with `notLeader`. */
export function rejectProposals(
  proposals: readonly driverEvents.Proposal[],
  leader: string | undefined,
): void {
  for (const { settle } of proposals) settle(createNotLeader(leader));
}

/** Creates the failure of a proposal that does not fit into the inbox. */
function createOverloaded(): results.Result<never> {
  return results.createFailure(
    "overloaded",
    "Cannot accept the change: the inbox is full",
    { retryAfterMs: OVERLOADED_RETRY_MS },
  );
}

/**
 * Creates the failure of a proposal that timed out; it may still be committed.
 */
function createUnconfirmed(): results.Result<never> {
  return results.createFailure(
    "changeUnknown",
    "Cannot confirm the change: no quorum answered in time",
    { outcome: "unknown" },
  );
}

/** Creates the failure of a proposal to a replica that is not the leader. */
function createNotLeader(
  leader: string | undefined,
): results.Result<never> {
  return results.createFailure(
    "notLeader",
    `Cannot accept the change: the leader is ${leader ?? "unknown"}`,
  );
}
