import type * as clocks from "../clock/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as crashGuards from "./crash_guard.ts";
import type * as grantDesks from "./grant_desk.ts";

/** Between two comparisons with what the stores keep, in ms. */
const LOOK_MS = 100;
/** Longest wait until the stores keep a change, in ms. */
const COMMIT_MS = 2_000;

/** What the crash keeper needs. */
export interface CrashKeeperOptions {
  readonly clock: clocks.Clock;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    "hasAuthority" | "propose"
  >;
  readonly machine: submissions.SubmissionStateMachine;
  readonly guard: Pick<crashGuards.CrashGuard, "learn">;
  readonly desk: Pick<grantDesks.GrantDesk, "followTerm">;
  readonly table: crashRecords.CrashTable;
  /** Tells the other boxes. */
  readonly publish: (record: crashRecords.CrashRecord) => void;
}

/**
 * Has the stores keep which work servers ended under, so that it is not let in
 * again after all boxes lost power.
 */
export class CrashKeeper {
  readonly #options: CrashKeeperOptions;
  #learned = "";
  #isBusy = false;
  #isStopped = false;

  constructor(options: CrashKeeperOptions) {
    this.#options = options;
  }

  start(): void {
    if (this.#isStopped) return;
    this.#options.desk.followTerm();
    this.#learn();
    void this.#keep();
    this.#options.clock.startTimer(LOOK_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Takes what the log has brought to this store. */
  #learn(): void {
    const { machine, guard, publish } = this.#options;
    const kept = machine.getCrashes();
    if (kept.describeContent() === this.#learned) return;
    this.#learned = kept.describeContent();
    for (const record of kept.list()) {
      if (guard.learn(record)) publish(record);
    }
  }

  /** Proposes what the fleet knows and the log does not. */
  async #keep(): Promise<void> {
    const { clock, group, machine, table } = this.#options;
    if (this.#isBusy || !group.hasAuthority()) return;
    const kept = machine.getCrashes();
    if (table.describeContent() === kept.describeContent()) return;
    const nowMs = clock.getWallMs();
    const records = table.list().filter((record) =>
      kept.hasNews(record, nowMs)
    );
    if (records.length === 0) return;
    this.#isBusy = true;
    const command: submissions.SubmissionCommand = {
      kind: "keepCrashes",
      records,
      nowMs,
    };
    await group.propose(command, COMMIT_MS);
    this.#isBusy = false;
  }
}
