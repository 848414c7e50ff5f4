import * as fs from "node:fs";
import * as fsPromises from "node:fs/promises";
import * as path from "node:path";
import * as results from "../results/mod.ts";
import * as records from "./record.ts";

const FORMAT_VERSION = 1;

/** First record of each log file. */
interface FileHeader {
  readonly format: number;
  readonly owner: string;
}

/** What a data folder held when it was opened. */
export interface LoadedLog {
  readonly snapshot: unknown;
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

function toBytes(value: unknown): Buffer {
  return records.encodeRecord(Buffer.from(JSON.stringify(value)));
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
  #wholeBytes: number;

  private constructor(
    folder: string,
    owner: string,
    generation: number,
    file: fsPromises.FileHandle,
  ) {
    this.#wholeBytes = fs.fstatSync(file.fd).size;
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
    const snapshot = readSnapshot(folder, generation);
    const name = path.join(folder, `log.${generation}`);
    if (!fs.existsSync(name)) createFile(name, owner, []);
    const read = readRecords(name, owner);
    if (read.tornBytes > 0) cutTail(name, read.wholeBytes);
    syncFolder(folder);
    const file = await fsPromises.open(name, "a");
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
   * @throws The error of the file system.
   */
  async append(records: readonly unknown[]): Promise<void> {
    if (records.length === 0) return;
    const bytes = Buffer.concat(records.map(toBytes));
    try {
      await this.#file.appendFile(bytes);
      await this.#file.datasync();
    } catch (error) {
      await this.#file.truncate(this.#wholeBytes);
      throw error;
    }
    this.#wholeBytes += bytes.length;
  }

  /**
   * Replaces all that came before by a snapshot and the records that follow it.
   *
   * @param snapshot The state.
   * @param records What the new log begins with.
   */
  async compact(snapshot: unknown, records: readonly unknown[]): Promise<void> {
    const next = this.#generation + 1;
    const logName = path.join(this.#folder, `log.${next}`);
    const snapshotName = path.join(this.#folder, `snapshot.${next}`);
    createFile(logName, this.#owner, records);
    syncFolder(this.#folder);
    writeSynced(snapshotName, toBytes(snapshot));
    syncFolder(this.#folder);
    await this.#file.close();
    this.#file = await fsPromises.open(logName, "a");
    this.#wholeBytes = fs.fstatSync(this.#file.fd).size;
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

/** Writes a file whole or not at all. */
function writeSynced(name: string, bytes: Buffer): void {
  const descriptor = fs.openSync(`${name}.tmp`, "w");
  fs.writeFileSync(descriptor, bytes);
  fs.fsyncSync(descriptor);
  fs.closeSync(descriptor);
  fs.renameSync(`${name}.tmp`, name);
}

function createFile(
  name: string,
  owner: string,
  records: readonly unknown[],
): void {
  const header: FileHeader = { format: FORMAT_VERSION, owner };
  writeSynced(name, Buffer.concat([header, ...records].map(toBytes)));
}

function readSnapshot(folder: string, generation: number): unknown {
  if (generation === 0) return undefined;
  const name = path.join(folder, `snapshot.${generation}`);
  const record = records.decodeRecord(fs.readFileSync(name), 0);
  if (record === undefined) throw createCorruptError(name, 0);
  return JSON.parse(record.payload.toString("utf8"));
}

interface ReadFile {
  readonly records: readonly unknown[];
  readonly wholeBytes: number;
  readonly tornBytes: number;
}

function readRecords(name: string, owner: string): ReadFile {
  const bytes = fs.readFileSync(name);
  const values: unknown[] = [];
  let offset = 0;
  for (;;) {
    const record = records.decodeRecord(bytes, offset);
    if (record === undefined) break;
    values.push(JSON.parse(record.payload.toString("utf8")));
    offset = record.end;
  }
  if (records.hasRecordAfter(bytes, offset)) {
    throw createCorruptError(name, offset);
  }
  checkHeader(values[0] as FileHeader | undefined, name, owner);
  return {
    records: values.slice(1),
    wholeBytes: offset,
    tornBytes: bytes.length - offset,
  };
}

function checkHeader(
  header: FileHeader | undefined,
  name: string,
  owner: string,
): void {
  if (header === undefined) throw createCorruptError(name, 0);
  if (header.format === FORMAT_VERSION && header.owner === owner) return;
  throw new results.FailureError({
    code: "wrongFolder",
    message:
      `Cannot open the data folder: ${name} has format ${header.format} and belongs to box ${header.owner}`,
    outcome: "notRun",
  });
}

function cutTail(name: string, length: number): void {
  const descriptor = fs.openSync(name, "r+");
  fs.ftruncateSync(descriptor, length);
  fs.fsyncSync(descriptor);
  fs.closeSync(descriptor);
}

function createCorruptError(
  name: string,
  offset: number,
): results.FailureError {
  return new results.FailureError({
    code: "corruptLog",
    message:
      `Cannot open the data folder: ${name} is damaged at byte ${offset} and has whole records after it`,
    outcome: "notRun",
  });
}
