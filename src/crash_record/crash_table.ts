import * as crypto from "node:crypto";
import * as crashRecords from "./crash_record.ts";
import type * as workDigests from "./work_digest.ts";

/**
 * How long work under which servers ended is remembered after the last one, in
 * ms: a day, so that one piece of work ends three servers a day at most, and one
 * whose fault was mended meanwhile is served again.
 */
const RETENTION_MS = 24 * 60 * 60 * 1_000;
/** The same for work that ran to its end since; news of it may come late. */
const CLEARED_RETENTION_MS = 60_000;
/** How far ahead the clock of another box may be, in ms; more is not believed. */
const MAX_CLOCK_SKEW_MS = 60_000;
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
  #contentHash: string | undefined;

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
  hasChanges(record: crashRecords.CrashRecord, nowMs: number): boolean {
    if (isExpired(record, nowMs)) return false;
    const known = this.#records.get(record.digest);
    if (known === undefined) return true;
    const merged = crashRecords.mergeRecords(known, record);
    return crashRecords.createRecordKey(known) !==
      crashRecords.createRecordKey(merged);
  }

  /**
   * Takes what another box or the log knows.
   *
   * @param record What is known of one piece of work.
   * @param nowMs Wall time, in ms.
   * @returns Whether something was not known before.
   */
  merge(record: crashRecords.CrashRecord, nowMs: number): boolean {
    if (!this.hasChanges(record, nowMs)) return false;
    const known = this.#records.get(record.digest);
    const notedAtMs = Math.min(record.notedAtMs, nowMs + MAX_CLOCK_SKEW_MS);
    const bounded = { ...record, notedAtMs };
    const merged = crashRecords.mergeRecords(known ?? bounded, bounded);
    this.#records.set(record.digest, merged);
    this.#contentHash = undefined;
    if (known === undefined) this.#enforceLimits(record.account);
    return this.#records.has(record.digest);
  }

  /** Forgets what is too old. */
  removeExpired(nowMs: number): void {
    for (const [digest, record] of this.#records) {
      if (isExpired(record, nowMs)) this.#remove(digest);
    }
  }

  /** Takes saved records in the place of all. */
  restore(records: readonly crashRecords.CrashRecord[]): void {
    this.#records.clear();
    for (const record of records) this.#records.set(record.digest, record);
    this.#contentHash = undefined;
  }

  /** Describes all records; tables with the same description hold the same. */
  getContentHash(): string {
    this.#contentHash ??= this.#computeContentHash();
    return this.#contentHash;
  }

  #computeContentHash(): string {
    if (this.isEmpty()) return "";
    const lines = this.list().map(crashRecords.createRecordKey).toSorted();
    return crypto.createHash("sha1").update(lines.join("\n")).digest("base64");
  }

  #enforceLimits(account: string): void {
    const accountRecords = this.list().filter((record) =>
      record.account === account
    );
    if (accountRecords.length > MAX_ACCOUNT_RECORDS) {
      return this.#evictOne(accountRecords);
    }
    if (this.#records.size > MAX_RECORDS) this.#evictOne(this.list());
  }

  /** Drops the one with the fewest servers, the oldest among such. */
  #evictOne(records: readonly crashRecords.CrashRecord[]): void {
    const [evicted] = records.toSorted((a, b) =>
      crashRecords.countConsecutiveCrashes(a) -
        crashRecords.countConsecutiveCrashes(b) ||
      a.notedAtMs - b.notedAtMs || (a.digest < b.digest ? -1 : 1)
    );
    if (evicted !== undefined) this.#remove(evicted.digest);
  }

  #remove(digest: workDigests.WorkDigest): void {
    this.#records.delete(digest);
    this.#contentHash = undefined;
  }
}

function isExpired(
  record: crashRecords.CrashRecord,
  nowMs: number,
): boolean {
  const retentionMs = crashRecords.countConsecutiveCrashes(record) === 0
    ? CLEARED_RETENTION_MS
    : RETENTION_MS;
  return nowMs - record.notedAtMs > retentionMs;
}
