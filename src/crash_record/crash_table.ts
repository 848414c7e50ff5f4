import * as crypto from "node:crypto";
import * as crashRecords from "./crash_record.ts";
import type * as workDigests from "./work_digest.ts";

/**
 * Retention of a record after its latest crash, in ms. Limits one piece of work
 * to a few crashes a day, and unblocks it once its cause may have been fixed.
 */
const RETENTION_MS = 24 * 60 * 60 * 1_000;
/** Retention of a cleared record, in ms, so that delayed updates still merge. */
const CLEARED_RETENTION_MS = 60_000;
/** Largest accepted lead of another box's wall clock, in ms. */
const MAX_CLOCK_SKEW_MS = 60_000;
/** Most records per client account, so that none evicts those of others. */
const MAX_ACCOUNT_RECORDS = 512;
/** Most records in total; bounds the table to about 1 MB. */
const MAX_RECORDS = 4_096;

/** Crash records by work digest, bounded in number and age. */
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

  /** Returns all records, including cleared ones. */
  list(): readonly crashRecords.CrashRecord[] {
    return [...this.#records.values()];
  }

  /** Reports whether merging a record would change the table. */
  hasChanges(record: crashRecords.CrashRecord, nowMs: number): boolean {
    if (isExpired(record, nowMs)) return false;
    const known = this.#records.get(record.digest);
    if (known === undefined) return true;
    const merged = crashRecords.mergeRecords(known, record);
    return crashRecords.createRecordKey(known) !==
      crashRecords.createRecordKey(merged);
  }

  /**
   * Merges a record, and evicts another one if the table exceeds its limits.
   *
   * @param record The record to merge.
   * @param nowMs Current wall time, in ms.
   * @returns Whether the table now holds new information about the work.
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

  /** Removes expired records. `nowMs` is the current wall time. */
  removeExpired(nowMs: number): void {
    for (const [digest, record] of this.#records) {
      if (isExpired(record, nowMs)) this.#remove(digest);
    }
  }

  /** Replaces all records by those of a snapshot. */
  restore(records: readonly crashRecords.CrashRecord[]): void {
    this.#records.clear();
    for (const record of records) this.#records.set(record.digest, record);
    this.#contentHash = undefined;
  }

  /** Returns a hash of all records except their times; empty if none exist. */
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

  /** Evicts the record with the fewest crashes, and of those the oldest. */
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
