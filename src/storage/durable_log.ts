import * as fs from "node:fs";
import * as fsPromises from "node:fs/promises";
import * as path from "node:path";
import * as results from "../results/mod.ts";
import * as readRecords from "./_read_records.ts";
import * as heldBytes from "../held_bytes/mod.ts";
import * as encodeRecords from "./_encode_records.ts";

const FORMAT_VERSION = 3;
/** Previous format, which has no batches: each value is a record of its own. */
const UNBATCHED_FORMAT_VERSION = 2;
/** File name of a snapshot until it is complete. */
const DRAFT_NAME = "snapshot.draft";

/** First record of a log file. */
interface FileHeader {
  readonly format: number;
  readonly owner: string;
}

/** A snapshot in parts, so that it is never encoded as one string. */
export interface StoredSnapshot {
  /** Metadata of the snapshot. */
  readonly head: unknown;
  readonly parts: readonly unknown[];
}

/** The content of a data folder when it was opened. */
export interface LoadedLog {
  readonly snapshot: StoredSnapshot | undefined;
  readonly records: readonly unknown[];
  /** Length of the torn tail that was truncated, in bytes. */
  readonly tornBytes: number;
}

/** A log and its content. */
export interface OpenedLog {
  readonly log: DurableLog;
  readonly loaded: LoadedLog;
}

function findGeneration(folder: string): number {
  const generations = fs.readdirSync(folder)
    .map((name) => /^snapshot\.(\d+)$/.exec(name)?.[1])
    .filter((text) => text !== undefined)
    .map(Number);
  return Math.max(0, ...generations);
}

function syncFolder(folder: string): void {
  const descriptor = fs.openSync(folder, "r");
  fs.fsyncSync(descriptor);
  fs.closeSync(descriptor);
}

/**
 * An append-only log with snapshots in a folder. Generation g consists of
 * `snapshot.g` (none for generation 0) and `log.g`, whose records follow it. A new
 * generation starts when its snapshot is renamed into place.
 */
export class DurableLog {
  readonly #folder: string;
  readonly #owner: string;
  #generation: number;
  #file: fsPromises.FileHandle;
  /** Length of the log file without a failed append, in bytes. */
  #validBytes: number;

  private constructor(
    folder: string,
    owner: string,
    generation: number,
    file: fsPromises.FileHandle,
  ) {
    this.#validBytes = fs.fstatSync(file.fd).size;
    this.#folder = folder;
    this.#owner = owner;
    this.#generation = generation;
    this.#file = file;
  }

  /**
   * Opens a data folder and truncates a torn tail of its log.
   *
   * @param folder The data folder; created if missing.
   * @param owner Id of the box that owns the folder.
   * @throws FailureError `corruptLog` or `wrongFolder`.
   */
  static async open(folder: string, owner: string): Promise<OpenedLog> {
    fs.mkdirSync(folder, { recursive: true });
    const generation = findGeneration(folder);
    const filePath = path.join(folder, `log.${generation}`);
    if (!fs.existsSync(filePath)) createLogFile(filePath, owner, []);
    const read = readLog(filePath, owner);
    const snapshot = readSnapshot(folder, generation);
    if (read.tornBytes > 0) truncateFile(filePath, read.validBytes);
    // An older release would ignore batches, so it must not open the file again.
    if (read.isPreviousFormat) createLogFile(filePath, owner, read.records);
    syncFolder(folder);
    const file = await fsPromises.open(filePath, "a");
    // The last write may not have been synced when its process ended. Its records
    // may be acknowledged from now on, so they must survive a power failure.
    await file.datasync();
    const log = new DurableLog(folder, owner, generation, file);
    return {
      log,
      loaded: { snapshot, records: read.records, tornBytes: read.tornBytes },
    };
  }

  /**
   * Appends records; they are durable once the promise resolves. A failed append
   * leaves the log unchanged and may be retried.
   *
   * Each write has a single checksum: the pages of an unsynced write reach the
   * disk in any order, and a valid record after a lost one would be taken for
   * corruption. Each write is synced before the next, so at most one is torn.
   *
   * @throws The error of the file system.
   */
  async append(records: readonly unknown[]): Promise<void> {
    let validBytes = this.#validBytes;
    let largestBytes = 0;
    try {
      for (const bytes of encodeRecords.encodeBatches(records)) {
        await this.#file.appendFile(bytes);
        await this.#file.datasync();
        validBytes += bytes.length;
        largestBytes = Math.max(largestBytes, bytes.length);
      }
    } catch (error) {
      await this.#file.truncate(this.#validBytes);
      throw error;
    }
    this.#validBytes = validBytes;
    void heldBytes.collectAfterMessage(largestBytes);
  }

  /**
   * Replaces the log with a snapshot and the records that follow it.
   *
   * @param snapshot The snapshot.
   * @param records First records of the new log.
   */
  async compact(
    snapshot: StoredSnapshot,
    records: readonly unknown[],
  ): Promise<void> {
    await this.writeSnapshotDraft(snapshot);
    await this.installSnapshotDraft(records);
  }

  /**
   * Writes a snapshot part by part without installing it. Records may be appended
   * in the meantime.
   *
   * @param snapshot The snapshot; must not change until the promise resolves.
   */
  async writeSnapshotDraft(snapshot: StoredSnapshot): Promise<void> {
    const { head, parts } = snapshot;
    const filePath = path.join(this.#folder, DRAFT_NAME);
    const file = await fsPromises.open(filePath, "w");
    try {
      const header: SnapshotHeader = { head, parts: parts.length };
      for (const bytes of encodeRecords.encodeChunks([header, ...parts])) {
        await file.appendFile(bytes);
      }
      await file.datasync();
    } finally {
      await file.close();
    }
  }

  /**
   * Replaces the log with the snapshot written by `writeSnapshotDraft`.
   *
   * @param records First records of the new log: all that follow the snapshot.
   */
  async installSnapshotDraft(records: readonly unknown[]): Promise<void> {
    const next = this.#generation + 1;
    const logPath = path.join(this.#folder, `log.${next}`);
    createLogFile(logPath, this.#owner, records);
    syncFolder(this.#folder);
    fs.renameSync(
      path.join(this.#folder, DRAFT_NAME),
      path.join(this.#folder, `snapshot.${next}`),
    );
    syncFolder(this.#folder);
    await this.#file.close();
    this.#file = await fsPromises.open(logPath, "a");
    this.#validBytes = fs.fstatSync(this.#file.fd).size;
    this.#removeGeneration(this.#generation);
    this.#generation = next;
  }

  close(): Promise<void> {
    return this.#file.close();
  }

  #removeGeneration(generation: number): void {
    for (const kind of ["log", "snapshot"]) {
      fs.rmSync(path.join(this.#folder, `${kind}.${generation}`), {
        force: true,
      });
    }
  }
}

/** First record of a snapshot file, followed by the parts. */
interface SnapshotHeader {
  readonly head: unknown;
  /** Number of parts. */
  readonly parts: number;
}

/** Creates a log file atomically. */
function createLogFile(
  filePath: string,
  owner: string,
  records: readonly unknown[],
): void {
  const header: FileHeader = { format: FORMAT_VERSION, owner };
  const descriptor = fs.openSync(`${filePath}.tmp`, "w");
  for (const bytes of encodeRecords.encodeChunks([header, ...records])) {
    fs.writeFileSync(descriptor, bytes);
  }
  fs.fsyncSync(descriptor);
  fs.closeSync(descriptor);
  fs.renameSync(`${filePath}.tmp`, filePath);
}

function readSnapshot(
  folder: string,
  generation: number,
): StoredSnapshot | undefined {
  if (generation === 0) return undefined;
  const filePath = path.join(folder, `snapshot.${generation}`);
  const values: unknown[] = [];
  const summary = readRecords.readRecords(
    filePath,
    (payload) => values.push(parsePayload(payload)),
  );
  const header = values[0] as SnapshotHeader | undefined;
  const parts = values.slice(1);
  if (header === undefined || parts.length !== header.parts) {
    throw createCorruptError(filePath, summary.validBytes);
  }
  return { head: header.head, parts };
}

interface ReadLogFile {
  readonly records: readonly unknown[];
  readonly validBytes: number;
  readonly tornBytes: number;
  /** Whether the file has the previous format. */
  readonly isPreviousFormat: boolean;
}

function readLog(filePath: string, owner: string): ReadLogFile {
  const values: unknown[] = [];
  const { validBytes, trailingBytes, isCorrupt } = readRecords.readRecords(
    filePath,
    (payload) => {
      const value = parsePayload(payload);
      if (Array.isArray(value)) values.push(...value);
      else values.push(value);
    },
  );
  if (isCorrupt) throw createCorruptError(filePath, validBytes);
  const header = values[0] as FileHeader | undefined;
  checkHeader(header, filePath, owner);
  return {
    records: values.slice(1),
    validBytes,
    tornBytes: trailingBytes,
    isPreviousFormat: header?.format !== FORMAT_VERSION,
  };
}

function parsePayload(payload: Buffer): unknown {
  return JSON.parse(payload.toString("utf8"));
}

function checkHeader(
  header: FileHeader | undefined,
  filePath: string,
  owner: string,
): void {
  if (header === undefined) throw createCorruptError(filePath, 0);
  const isKnownFormat = header.format === FORMAT_VERSION ||
    header.format === UNBATCHED_FORMAT_VERSION;
  if (isKnownFormat && header.owner === owner) return;
  throw new results.FailureError({
    code: "wrongFolder",
    message:
      `Cannot open the data folder: ${filePath} has format ${header.format} and belongs to box ${header.owner}`,
    outcome: "notRun",
  });
}

function truncateFile(filePath: string, length: number): void {
  const descriptor = fs.openSync(filePath, "r+");
  fs.ftruncateSync(descriptor, length);
  fs.fsyncSync(descriptor);
  fs.closeSync(descriptor);
}

function createCorruptError(
  filePath: string,
  offset: number,
): results.FailureError {
  return new results.FailureError({
    code: "corruptLog",
    message:
      `Cannot open the data folder: ${filePath} is corrupt at byte ${offset}`,
    outcome: "notRun",
  });
}
