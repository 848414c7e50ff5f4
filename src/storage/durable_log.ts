import * as fs from "node:fs";
import * as fsPromises from "node:fs/promises";
import * as path from "node:path";
import * as results from "../results/mod.ts";
import * as readRecords from "./_read_records.ts";
import * as encodeRecords from "./_encode_records.ts";

const FORMAT_VERSION = 3;
/** Format before, in which each record of a write stands by itself. */
const UNBATCHED_FORMAT_VERSION = 2;
/** A snapshot that is being written; nothing reads it before its rename. */
const DRAFT_NAME = "snapshot.draft";

/** First record of each log file. */
interface FileHeader {
  readonly format: number;
  readonly owner: string;
}

/** A state in parts, so that none is held as one text. */
export interface StoredSnapshot {
  /** What the snapshot is of. */
  readonly head: unknown;
  readonly parts: readonly unknown[];
}

/** What a data folder held when it was opened. */
export interface LoadedLog {
  readonly snapshot: StoredSnapshot | undefined;
  readonly records: readonly unknown[];
  /** Bytes of a torn tail that were cut off. */
  readonly tornBytes: number;
}

/** A log with its content. */
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
 * An append-only log with snapshots in one folder. Generation g is the file
 * `log.g` on top of `snapshot.g`; the rename of a new snapshot starts the next.
 */
export class DurableLog {
  readonly #folder: string;
  readonly #owner: string;
  #generation: number;
  #file: fsPromises.FileHandle;
  /** Bytes of the log file that are whole records. */
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
   * Opens a data folder, repairing a torn tail.
   *
   * @param folder The data folder; made if missing.
   * @param owner Id of the box; a folder of another box is refused.
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
    // A process of the former version must not pass over what comes in this one.
    if (read.isPreviousFormat) createLogFile(filePath, owner, read.records);
    syncFolder(folder);
    const file = await fsPromises.open(filePath, "a");
    // A write whose process ended before its sync is read like any other; vouched
    // for again and then lost with the power, it would never be sent anew.
    await file.datasync();
    const log = new DurableLog(folder, owner, generation, file);
    return {
      log,
      loaded: { snapshot, records: read.records, tornBytes: read.tornBytes },
    };
  }

  /**
   * Appends records; they last once the promise resolves. A failed append
   * leaves the log as it was, so that it can be tried again.
   *
   * All records of a write stand under one checksum: pages of an unsynced write
   * reach the disk in any order, and a whole record after a lost one would look
   * like damage of what was confirmed, after which a box never starts again. Each
   * write is synced before the next, so that at most one is torn.
   *
   * @throws The error of the file system.
   */
  async append(records: readonly unknown[]): Promise<void> {
    let validBytes = this.#validBytes;
    try {
      for (const bytes of encodeRecords.encodeBatches(records)) {
        await this.#file.appendFile(bytes);
        await this.#file.datasync();
        validBytes += bytes.length;
      }
    } catch (error) {
      await this.#file.truncate(this.#validBytes);
      throw error;
    }
    this.#validBytes = validBytes;
  }

  /**
   * Replaces all that came before by a snapshot and the records that follow it.
   *
   * @param snapshot The state.
   * @param records What the new log begins with.
   */
  async compact(
    snapshot: StoredSnapshot,
    records: readonly unknown[],
  ): Promise<void> {
    await this.writeSnapshotDraft(snapshot);
    await this.installSnapshotDraft(records);
  }

  /**
   * Writes a snapshot part by part, beside the log, which takes records
   * meanwhile. It holds nothing until `takeDraft`.
   *
   * @param snapshot The state; it must not change meanwhile.
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
   * Puts the written snapshot in the place of the log.
   *
   * @param records What the new log begins with: all that follows the snapshot.
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

/** First record of a snapshot file; its parts follow. */
interface SnapshotHeader {
  readonly head: unknown;
  readonly parts: number;
}

/** Writes a log file whole or not at all. */
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
  /** Whether the file has the format before. */
  readonly isPreviousFormat: boolean;
}

function readLog(filePath: string, owner: string): ReadLogFile {
  const values: unknown[] = [];
  const {
    validBytes: validBytes,
    trailingBytes: trailingBytes,
    isCorrupt: isCorrupt,
  } = readRecords.readRecords(
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
    validBytes: validBytes,
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
      `Cannot open the data folder: ${filePath} is damaged at byte ${offset} and has whole records after it`,
    outcome: "notRun",
  });
}
