import type * as clocks from "../clock/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as crashGuards from "./crash_guard.ts";
import type * as grantServices from "./grant_service.ts";

/** Between two comparisons with what the stores keep, in ms. */
const POLL_INTERVAL_MS = 100;
/** Longest wait until the stores keep a change, in ms. */
const COMMIT_TIMEOUT_MS = 2_000;

/** What the crash keeper needs. */
export interface CrashReplicatorOptions {
  readonly clock: clocks.Clock;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    "hasAuthority" | "propose"
  >;
  readonly machine: submissions.SubmissionMachine;
  readonly guard: Pick<crashGuards.CrashGuard, "mergeRemoteRecord">;
  readonly grants: Pick<grantServices.GrantService, "updateTerm">;
  readonly table: crashRecords.CrashTable;
  /** Tells the other boxes. */
  readonly publish: (record: crashRecords.CrashRecord) => void;
}

/**
 * Has the stores keep which work servers ended under, so that it is not let in
 * again after all boxes lost power.
 */
export class CrashReplicator {
  readonly #options: CrashReplicatorOptions;
  #mergedHash = "";
  #isProposing = false;
  #isStopped = false;

  constructor(options: CrashReplicatorOptions) {
    this.#options = options;
  }

  start(): void {
    if (this.#isStopped) return;
    this.#options.grants.updateTerm();
    this.#mergeReplicated();
    void this.#proposeChanges();
    this.#options.clock.startTimer(POLL_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Takes what the log has brought to this store. */
  #mergeReplicated(): void {
    const { machine, guard, publish } = this.#options;
    const replicated = machine.getCrashes();
    if (replicated.getContentHash() === this.#mergedHash) return;
    this.#mergedHash = replicated.getContentHash();
    for (const record of replicated.list()) {
      if (guard.mergeRemoteRecord(record)) publish(record);
    }
  }

  /** Proposes what the fleet knows and the log does not. */
  async #proposeChanges(): Promise<void> {
    const { clock, group, machine, table } = this.#options;
    if (this.#isProposing || !group.hasAuthority()) return;
    const kept = machine.getCrashes();
    if (table.getContentHash() === kept.getContentHash()) return;
    const nowMs = clock.getWallMs();
    const records = table.list().filter((record) =>
      kept.hasChanges(record, nowMs)
    );
    if (records.length === 0) return;
    this.#isProposing = true;
    const command: submissions.SubmissionCommand = {
      kind: "keepCrashes",
      records,
      nowMs,
    };
    await group.propose(command, COMMIT_TIMEOUT_MS);
    this.#isProposing = false;
  }
}
