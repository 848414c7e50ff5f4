import type * as protocols from "./protocol.ts";

/** What the leader knows of one box. */
export interface BoxRecord {
  readonly view: protocols.BoxView;
  /** Revision that the box confirmed. */
  readonly revision: number;
  /** Leader's monotonic time until which the box may hold a lease, in ms. */
  readonly leaseUntilMs: number;
}

/** All boxes that have synced with this leader. */
export interface BoxTable {
  readonly records: ReadonlyMap<string, BoxRecord>;
  /** When this leader began to lead, in ms. */
  readonly leaderSinceMs: number;
  readonly leaseMs: number;
}

/** Time for which a box without a lease is still listed, in leases. */
const RETENTION_LEASES = 30;

/**
 * Notes what a box confirmed.
 *
 * @param table The table.
 * @param view The box.
 * @param revision Revision that it holds.
 * @returns The table.
 */
export function recordSync(
  table: BoxTable,
  view: protocols.BoxView,
  revision: number,
): BoxTable {
  const previous = table.records.get(view.id);
  const leaseUntilMs = previous?.leaseUntilMs ?? 0;
  const record = { view, revision, leaseUntilMs };
  return { ...table, records: new Map([...table.records, [view.id, record]]) };
}

/**
 * Notes that a box is given a lease.
 *
 * @param table The table.
 * @param id The box.
 * @param nowMs Monotonic time, in ms.
 * @returns The table.
 */
export function grantLease(
  table: BoxTable,
  id: string,
  nowMs: number,
): BoxTable {
  const previous = table.records.get(id);
  if (previous === undefined) return table;
  const record = { ...previous, leaseUntilMs: nowMs + table.leaseMs };
  return { ...table, records: new Map([...table.records, [id, record]]) };
}

/**
 * Tells whether a revision is in force everywhere: every box confirmed it or
 * surely has no lease. A lease that an earlier leader gave ends within one
 * lease of this leader's start.
 *
 * @param table The table.
 * @param revision The revision.
 * @param nowMs Monotonic time, in ms.
 * @returns Whether it is.
 */
export function isInForce(
  table: BoxTable,
  revision: number,
  nowMs: number,
): boolean {
  if (nowMs < table.leaderSinceMs + table.leaseMs) return false;
  return [...table.records.values()].every((record) =>
    record.revision >= revision || record.leaseUntilMs < nowMs
  );
}

/**
 * Drops boxes that have had no lease for long.
 *
 * @param table The table.
 * @param nowMs Monotonic time, in ms.
 * @returns The table.
 */
export function removeExpiredBoxes(table: BoxTable, nowMs: number): BoxTable {
  const retentionMs = table.leaseMs * RETENTION_LEASES;
  const retained = [...table.records].filter(([, record]) =>
    record.leaseUntilMs + retentionMs > nowMs
  );
  if (retained.length === table.records.size) return table;
  return { ...table, records: new Map(retained) };
}

/**
 * Lists the boxes that callers may be sent to.
 *
 * @param table The table.
 * @param nowMs Monotonic time, in ms.
 * @returns Boxes with a lease, draining ones marked.
 */
export function listLeasedBoxes(
  table: BoxTable,
  nowMs: number,
): readonly protocols.BoxView[] {
  return [...table.records.values()]
    .filter((record) => record.leaseUntilMs >= nowMs)
    .map((record) => record.view);
}
