import type * as clocks from "../clock/mod.ts";
import type * as csp from "../csp/mod.ts";
import type * as heldBytes from "../held_bytes/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as accessChecks from "./can_access.ts";
import * as protocol from "./protocol.ts";
import type * as submissions from "./submission.ts";
import type * as stateMachines from "./submission_state_machine.ts";

/** Forms of a submission that are held beside it while it is stored. */
const FURTHER_FORMS = 3;
/** Time after which a large submission that is not stored is proposed again, in ms. */
const PROPOSAL_LIFETIME_MS = 10_000;

/** Dependencies of `LargeProposals`. */
export interface LargeProposalsOptions {
  readonly clock: clocks.Clock;
  readonly memoryGuard: Pick<heldBytes.MemoryGuard, "hasRoomFor">;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    "hasAuthority" | "createNotLeader"
  >;
  readonly stateMachine: Pick<stateMachines.SubmissionStateMachine, "get">;
  /** Notified when the state machine has changed. */
  readonly stateChanged: csp.Signal;
  /** Time for which a repeated call waits for the first proposal, in ms. */
  readonly awaitMs: number;
  /** Proposes a submission to the group. */
  readonly propose: (
    submission: submissions.Submission,
  ) => Promise<protocol.LeaderReply<unknown>>;
}

/**
 * Accepts large submissions. Each is held in several forms until it is stored, so it is
 * proposed only if there is room, and once, however often it is sent meanwhile.
 */
export class LargeProposals {
  readonly #options: LargeProposalsOptions;
  /** Monotonic times at which submissions were proposed, in ms, by id. */
  readonly #proposedAtMs = new Map<string, number>();

  constructor(options: LargeProposalsOptions) {
    this.#options = options;
  }

  /** Proposes a submission, or waits for an earlier proposal of it. */
  async accept(
    submission: submissions.Submission,
  ): Promise<protocol.LeaderReply<unknown>> {
    const { clock, memoryGuard, group, propose } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    const nowMs = clock.getMonotonicMs();
    this.#forgetOldProposals(nowMs);
    if (this.#proposedAtMs.has(submission.id)) {
      return await this.#awaitStored(submission);
    }
    if (!memoryGuard.hasRoomFor(sumBytes(submission) * FURTHER_FORMS)) {
      return { kind: "unsure", mayHaveRun: false };
    }
    this.#proposedAtMs.set(submission.id, nowMs);
    return await propose(submission);
  }

  #forgetOldProposals(nowMs: number): void {
    for (const [id, proposedAtMs] of this.#proposedAtMs) {
      const isOld = nowMs - proposedAtMs >= PROPOSAL_LIFETIME_MS;
      if (isOld) this.#proposedAtMs.delete(id);
    }
  }

  async #awaitStored(
    { id, sender }: submissions.Submission,
  ): Promise<protocol.LeaderReply<null>> {
    const { clock, stateMachine, stateChanged, group, awaitMs } = this.#options;
    const endMs = clock.getMonotonicMs() + awaitMs;
    for (;;) {
      if (!group.hasAuthority()) return group.createNotLeader();
      const record = stateMachine.get(id);
      if (record !== undefined) {
        return accessChecks.canAccess(sender, record.submission)
          ? { kind: "done", value: null }
          : { kind: "unknown" };
      }
      const leftMs = endMs - clock.getMonotonicMs();
      if (leftMs <= 0) return { kind: "unsure", mayHaveRun: true };
      await stateChanged.wait(clock, leftMs);
    }
  }
}

/** Reports whether a submission is so large that its forms need room. */
export function isLarge(submission: submissions.Submission): boolean {
  return sumBytes(submission) >= protocol.LARGE_SUBMISSION_BYTES;
}

/** Returns the size of the bodies of all items, in bytes. */
function sumBytes({ items }: submissions.Submission): number {
  return items.reduce((total, { body }) => total + body.length, 0);
}
