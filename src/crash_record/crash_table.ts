import * as crypto from "node:crypto";
import * as crashRecords from "./crash_record.ts";
import type * as workDigests from "./work_digest.ts";

/**
 * How long work under which servers ended is remembered after the last one, in
 * ms: a day, so that one piece of work ends three servers a day at most, and one
 * whose fault was mended meanwhile is served again.
 */
const KEEP_MS = 24 * 60 * 60 * 1_000;
/** The same for work that ran to its end since; news of it may come late. */
const KEEP_CLEARED_MS = 60_000;
/** How far ahead the clock of another box may be, in ms; more is not believed. */
const MAX_AHEAD_MS = 60_000;
/** Records of one account at most, so that none pushes out those of others. */
const MAX_ACCOUNT_RECORDS = 512;
/** Records at most: some 250 bytes each, 1 MB in all. */
const MAX_RECORDS = 4_096;

/** Work under which servers ended, bounded in number and age. */
export class CrashTable {
  readonly #records = new Map<
    workDigests.WorkDigest,
    crashRecords.CrashRecord
  >();
  #content: string | undefined;

  isEmpty(): boolean {
    return this.#records.size === 0;
  }

  get(
    digest: workDigests.WorkDigest,
  ): crashRecords.CrashRecord | undefined {
    return this.#records.get(digest);
  }

  /** All records, those of work that was cleared among them. */
  list(): readonly crashRecords.CrashRecord[] {
    return [...this.#records.values()];
  }

  /** Tells whether a record says something that is not known here. */
  hasNews(record: crashRecords.CrashRecord, nowMs: number): boolean {
    if (isExpired(record, nowMs)) return false;
    const known = this.#records.get(record.digest);
    if (known === undefined) return true;
    const merged = crashRecords.mergeRecords(known, record);
    return crashRecords.describeRecord(known) !==
      crashRecords.describeRecord(merged);
  }

  /**
   * Takes what another box or the log knows.
   *
   * @param record What is known of one piece of work.
   * @param nowMs Wall time, in ms.
   * @returns Whether something was not known before.
   */
  merge(record: crashRecords.CrashRecord, nowMs: number): boolean {
    if (!this.hasNews(record, nowMs)) return false;
    const known = this.#records.get(record.digest);
    const notedAtMs = Math.min(record.notedAtMs, nowMs + MAX_AHEAD_MS);
    const told = { ...record, notedAtMs };
    const merged = crashRecords.mergeRecords(known ?? told, told);
    this.#records.set(record.digest, merged);
    this.#content = undefined;
    if (known === undefined) this.#limit(record.account);
    return this.#records.has(record.digest);
  }

  /** Forgets what is too old. */
  forget(nowMs: number): void {
    for (const [digest, record] of this.#records) {
      if (isExpired(record, nowMs)) this.#remove(digest);
    }
  }

  /** Takes saved records in the place of all. */
  restore(records: readonly crashRecords.CrashRecord[]): void {
    this.#records.clear();
    for (const record of records) this.#records.set(record.digest, record);
    this.#content = undefined;
  }

  /** Describes all records; tables with the same description hold the same. */
  describeContent(): string {
    this.#content ??= this.#computeContent();
    return this.#content;
  }

  #computeContent(): string {
    if (this.isEmpty()) return "";
    const lines = this.list().map(crashRecords.describeRecord).toSorted();
    return crypto.createHash("sha1").update(lines.join("\n")).digest("base64");
  }

  #limit(account: string): void {
    const own = this.list().filter((record) => record.account === account);
    if (own.length > MAX_ACCOUNT_RECORDS) return this.#dropLeast(own);
    if (this.#records.size > MAX_RECORDS) this.#dropLeast(this.list());
  }

  /** Drops the one with the fewest servers, the oldest among such. */
  #dropLeast(records: readonly crashRecords.CrashRecord[]): void {
    const [least] = records.toSorted((a, b) =>
      crashRecords.countEnded(a) - crashRecords.countEnded(b) ||
      a.notedAtMs - b.notedAtMs || (a.digest < b.digest ? -1 : 1)
    );
    if (least !== undefined) this.#remove(least.digest);
  }

  #remove(digest: workDigests.WorkDigest): void {
    this.#records.delete(digest);
    this.#content = undefined;
  }
}

function isExpired(
  record: crashRecords.CrashRecord,
  nowMs: number,
): boolean {
  const keepMs = crashRecords.countEnded(record) === 0
    ? KEEP_CLEARED_MS
    : KEEP_MS;
  return nowMs - record.notedAtMs > keepMs;
}
