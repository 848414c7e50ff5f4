import type * as clocks from "../clock/mod.ts";
import * as savedRecords from "../consensus/_saved_record.ts";
import * as consensus from "../consensus/mod.ts";
import type * as storage from "../storage/mod.ts";
import type * as processes from "./simulated_process_test.ts";

/** The part of a disk's state that decides elections. */
export interface DiskSummary {
  readonly isAdmitted: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Voters of the newest voter set in the log, committed or not. */
  readonly voters: readonly string[];
}

/** A write that has not been synced. */
interface PendingWrite {
  readonly records: readonly savedRecords.SavedRecord[];
}

/** The methods of `DurableLog` that a replica driver calls. */
type LogMethods = Pick<
  storage.DurableLog,
  "append" | "compact" | "writeSnapshotDraft" | "installSnapshotDraft" | "close"
>;

/** Syncs to replace the log by a snapshot, during which the process blocks. */
const REPLACE_SYNCS = 3;
/** Snapshot parts written per ms. */
const PARTS_PER_MS = 20;

/**
 * A disk on a fake clock. A write is durable once its sync has completed; the
 * test decides how many pending writes survive a power loss.
 */
export class SimulatedDisk {
  syncMs: number;
  readonly #clock: clocks.Clock;
  #snapshot: storage.StoredSnapshot | undefined;
  #records: savedRecords.SavedRecord[] = [];
  #pending: readonly PendingWrite[] = [];
  #busyUntilMs = 0;
  /** Number of power losses; each drops the operations in progress. */
  #powerLosses = 0;
  #summary: DiskSummary | undefined;

  constructor(clock: clocks.Clock, syncMs: number) {
    this.#clock = clock;
    this.syncMs = syncMs;
  }

  /** Writes the initial records of an initial voter. */
  initialize(voters: readonly string[]): void {
    this.#records = [...savedRecords.createBootstrapRecords(voters, 0)];
    this.#summary = undefined;
  }

  /** Drops unsynced writes, except for the oldest `keptWrites`. */
  cutPower(keptWrites = 0): void {
    for (const write of this.#pending.slice(0, keptWrites)) {
      this.#addRecords(write.records);
    }
    this.#pending = [];
    this.#powerLosses += 1;
    this.#busyUntilMs = 0;
  }

  /** Erases the disk. */
  wipe(): void {
    this.#snapshot = undefined;
    this.#records = [];
    this.#summary = undefined;
  }

  /** Number of writes that are not synced yet. */
  countPending(): number {
    return this.#pending.length;
  }

  /** Summary of the synced records. */
  getSummary(): DiskSummary {
    this.#summary ??= this.#collectSummary();
    return this.#summary;
  }

  /** Opens the log for a new process. */
  open(process: processes.SimulatedProcess): storage.OpenedLog {
    const loaded: storage.LoadedLog = {
      snapshot: this.#snapshot,
      records: [...this.#records],
      tornBytes: 0,
    };
    let draft: storage.StoredSnapshot | undefined;
    const log: LogMethods = {
      append: (records) => this.#append(process, toSaved(records)),
      writeSnapshotDraft: async (snapshot) => {
        const durationMs = snapshot.parts.length / PARTS_PER_MS + this.syncMs;
        await this.#completeLater(process, durationMs, () => {});
        draft = snapshot;
      },
      installSnapshotDraft: (records) => {
        if (draft === undefined) {
          throw new Error("takeDraft was called before writeDraft");
        }
        return this.#installSnapshot(process, draft, toSaved(records));
      },
      compact: (snapshot, records) =>
        this.#installSnapshot(process, snapshot, toSaved(records)),
      close: () => Promise.resolve(),
    };
    return { log: log as unknown as storage.DurableLog, loaded };
  }

  async #append(
    process: processes.SimulatedProcess,
    records: readonly savedRecords.SavedRecord[],
  ): Promise<void> {
    if (records.length === 0) return;
    const write: PendingWrite = { records };
    this.#pending = [...this.#pending, write];
    const nowMs = this.#clock.getMonotonicMs();
    this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + this.syncMs;
    await this.#completeLater(process, this.#busyUntilMs - nowMs, () => {
      this.#pending = this.#pending.filter((other) => other !== write);
      this.#addRecords(records);
    });
  }

  async #installSnapshot(
    process: processes.SimulatedProcess,
    snapshot: storage.StoredSnapshot,
    records: readonly savedRecords.SavedRecord[],
  ): Promise<void> {
    const durationMs = this.syncMs * REPLACE_SYNCS;
    process.useProcessor(durationMs);
    await this.#completeLater(process, durationMs, () => {
      this.#snapshot = snapshot;
      this.#records = [...records];
      this.#summary = undefined;
    });
  }

  /** Applies a write after a delay, unless power is lost first. */
  #completeLater(
    process: processes.SimulatedProcess,
    ms: number,
    write: () => void,
  ): Promise<void> {
    const powerLosses = this.#powerLosses;
    return new Promise((resolve) => {
      this.#clock.startTimer(Math.ceil(ms), () => {
        if (powerLosses !== this.#powerLosses) return;
        write();
        process.addTask(0, resolve);
      });
    });
  }

  #addRecords(records: readonly savedRecords.SavedRecord[]): void {
    this.#records.push(...records);
    for (const record of records) this.#updateSummary(record);
  }

  /** Updates the summary incrementally, as rebuilding it is slow. */
  #updateSummary(record: savedRecords.SavedRecord): void {
    const summary = this.#summary;
    if (summary === undefined || record.kind === "vote") return;
    if (record.kind === "identity") {
      const { isAdmitted } = record.identity;
      this.#summary = { ...summary, isAdmitted };
      return;
    }
    const { entry } = record;
    const set = consensus.parseReplicaSet(entry);
    // The entry replaces others, which may hold a different voter set.
    if (entry.index <= summary.lastIndex) this.#summary = undefined;
    else {
      this.#summary = {
        ...summary,
        lastIndex: entry.index,
        lastTerm: entry.term,
        voters: set?.voters ?? summary.voters,
      };
    }
  }

  #collectSummary(): DiskSummary {
    const snapshot = savedRecords.toSnapshot(this.#snapshot);
    const { log, identity } = savedRecords.rebuildReplica(
      snapshot,
      this.#records,
    );
    const lastIndex = consensus.getLastIndex(log);
    return {
      isAdmitted: identity.isAdmitted,
      lastIndex,
      lastTerm: consensus.getTermAt(log, lastIndex) ?? 0,
      voters: consensus.findReplicaSet(log)?.voters ?? [],
    };
  }
}

function toSaved(
  records: readonly unknown[],
): readonly savedRecords.SavedRecord[] {
  return records as readonly savedRecords.SavedRecord[];
}
