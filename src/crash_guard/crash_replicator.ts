import type * as clocks from "../clock/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as crashGuards from "./crash_guard.ts";
import type * as grantServices from "./grant_service.ts";

/** Interval between comparisons with the replicated records, in ms. */
const POLL_INTERVAL_MS = 100;
/** Timeout of a proposal to the replicated log, in ms. */
const COMMIT_TIMEOUT_MS = 2_000;

/** Dependencies of a `CrashReplicator`. */
export interface CrashReplicatorOptions {
  readonly clock: clocks.Clock;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    "hasAuthority" | "propose"
  >;
  readonly machine: submissions.SubmissionStateMachine;
  readonly guard: Pick<crashGuards.CrashGuard, "mergeRemoteRecord">;
  readonly grants: Pick<grantServices.GrantService, "updateTerm">;
  readonly table: crashRecords.CrashTable;
  /** Sends a record to the other boxes. */
  readonly publish: (record: crashRecords.CrashRecord) => void;
}

/**
 * Copies crash records between this box's table and the store boxes' replicated
 * log, so that crashing work stays blocked after a restart of all boxes.
 */
export class CrashReplicator {
  readonly #options: CrashReplicatorOptions;
  #mergedHash = "";
  #isProposing = false;
  #isStopped = false;

  constructor(options: CrashReplicatorOptions) {
    this.#options = options;
  }

  /** Synchronizes immediately, then at a fixed interval until `stop` is called. */
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

  /** Merges and publishes records that the replicated log delivered. */
  #mergeReplicated(): void {
    const { machine, guard, publish } = this.#options;
    const replicated = machine.getCrashes();
    if (replicated.getContentHash() === this.#mergedHash) return;
    this.#mergedHash = replicated.getContentHash();
    for (const record of replicated.list()) {
      if (guard.mergeRemoteRecord(record)) publish(record);
    }
  }

  /** Proposes records that the replicated log does not have, while leading. */
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
