import type * as clocks from "../clock/mod.ts";
import * as savedRecords from "../consensus/_saved_record.ts";
import * as consensus from "../consensus/mod.ts";
import type * as storage from "../storage/mod.ts";
import type * as processes from "./simulated_process_test.ts";

/** What the disk of a store would bring into an election. */
export interface DiskSummary {
  readonly isAdmitted: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Voters by the newest set in the log, agreed on or not. */
  readonly voters: readonly string[];
}

/** A write that has not been synced. */
interface PendingWrite {
  readonly records: readonly savedRecords.SavedRecord[];
}

/** A log as the driver of a replica uses it; its real one writes files. */
type LogMethods = Pick<
  storage.DurableLog,
  "append" | "compact" | "writeSnapshotDraft" | "installSnapshotDraft" | "close"
>;

/** Syncs that replacing a log by a snapshot takes, during which a process waits. */
const REPLACE_SYNCS = 3;
/** Parts of a snapshot that are written in a ms. */
const PARTS_PER_MS = 20;

/**
 * A disk on a fake clock. A write lasts once its sync has ended; what power
 * loss leaves of writes under way is up to the test.
 */
export class SimulatedDisk {
  syncMs: number;
  readonly #clock: clocks.Clock;
  #snapshot: storage.StoredSnapshot | undefined;
  #records: savedRecords.SavedRecord[] = [];
  #pending: readonly PendingWrite[] = [];
  #busyUntilMs = 0;
  /** Rises with each power loss, after which earlier logs write nothing. */
  #powerLosses = 0;
  #summary: DiskSummary | undefined;

  constructor(clock: clocks.Clock, syncMs: number) {
    this.#clock = clock;
    this.syncMs = syncMs;
  }

  /** Writes what a founding voter begins with. */
  initialize(voters: readonly string[]): void {
    this.#records = [...savedRecords.createBootstrapRecords(voters, 0)];
    this.#summary = undefined;
  }

  /** Loses what was not synced, but for so many of the writes under way. */
  cutPower(keptWrites = 0): void {
    for (const write of this.#pending.slice(0, keptWrites)) {
      this.#addRecords(write.records);
    }
    this.#pending = [];
    this.#powerLosses += 1;
    this.#busyUntilMs = 0;
  }

  /** Loses everything. */
  wipe(): void {
    this.#snapshot = undefined;
    this.#records = [];
    this.#summary = undefined;
  }

  /** Writes under way, oldest first. */
  countPending(): number {
    return this.#pending.length;
  }

  /** What is synced, as an election sees it. */
  getSummary(): DiskSummary {
    this.#summary ??= this.#collectSummary();
    return this.#summary;
  }

  /** Opens the disk for a new process. */
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
        if (draft === undefined) throw new Error("no draft was written");
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

  /** Carries out a write unless power is lost before, then tells the process. */
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

  /** Keeps the summary up to date, as reading all records anew is slow. */
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
    // What stood at the index and after it may have named other voters.
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
