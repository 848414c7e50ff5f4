import type * as clocks from "../clock/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as crashGuards from "./crash_guard.ts";
import type * as grantServices from "./grant_service.ts";
import type * as recordFiles from "./record_file.ts";
import type * as recordSyncs from "./record_sync.ts";

/** Interval between comparisons with the replicated records, in ms. */
const POLL_INTERVAL_MS = 100;
/** Timeout of a proposal to the replicated log, in ms. */
const COMMIT_TIMEOUT_MS = 2_000;

/** Dependencies of a `CrashReplicator`. */
export interface CrashReplicatorOptions {
  readonly clock: clocks.Clock;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    | "hasAuthority"
    | "propose"
    | "getAppliedIndex"
  >;
  readonly machine: submissions.SubmissionStateMachine;
  readonly guard: Pick<crashGuards.CrashGuard, "mergeRemoteRecord">;
  readonly grants: Pick<grantServices.GrantService, "updateTerm">;
  readonly table: crashRecords.CrashTable;
  readonly recordSync: recordSyncs.RecordSync;
  readonly recordFile: Pick<recordFiles.RecordFile, "load" | "save">;
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
  /** Whether the replica has opened its data folder. */
  #isStarted = false;
  #isStopped = false;

  constructor(options: CrashReplicatorOptions) {
    this.#options = options;
  }

  /** Synchronizes immediately, then at a fixed interval until `stop` is called. */
  start(): void {
    if (this.#isStopped) return;
    this.#isStarted = true;
    const { group, grants, recordSync, recordFile, table, clock } =
      this.#options;
    grants.updateTerm();
    this.#mergeReplicated();
    if (group.getAppliedIndex() > 0) recordSync.complete();
    void recordFile.save(table);
    void this.#proposeChanges();
    clock.startTimer(POLL_INTERVAL_MS, () => this.start());
  }

  /**
   * Merges and publishes the records on this box's disk: its own, and those in a
   * log that waits for a leader to commit it. Records only restrict work, so one
   * that was never committed does no harm.
   *
   * @param commands The commands of the log.
   */
  mergeUncommitted(commands: readonly unknown[]): void {
    this.#mergeAll(this.#options.recordFile.load());
    for (const command of commands) {
      if (isKeepCrashes(command)) this.#mergeAll(command.records);
    }
    if (commands.length > 0) this.#options.recordSync.complete();
  }

  #mergeAll(records: readonly crashRecords.CrashRecord[]): void {
    const { guard, publish } = this.#options;
    for (const record of records) {
      if (guard.mergeRemoteRecord(record)) publish(record);
    }
  }

  /**
   * Stops; resolves once the records are on the disk, or couldn't be written. A
   * data folder that was never opened stays empty, so that it is initialized.
   */
  async stop(): Promise<void> {
    this.#isStopped = true;
    if (!this.#isStarted) return;
    await this.#options.recordFile.save(this.#options.table);
  }

  /** Merges and publishes records that the replicated log delivered. */
  #mergeReplicated(): void {
    const replicated = this.#options.machine.getCrashes();
    if (replicated.getContentHash() === this.#mergedHash) return;
    this.#mergedHash = replicated.getContentHash();
    this.#mergeAll(replicated.list());
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

type KeepCrashes = Extract<
  submissions.SubmissionCommand,
  { readonly kind: "keepCrashes" }
>;

/** Whether a command of the store group's log records crashes. */
function isKeepCrashes(command: unknown): command is KeepCrashes {
  return (command as submissions.SubmissionCommand | null)?.kind ===
    "keepCrashes";
}
