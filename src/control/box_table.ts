import type * as protocols from "./protocol.ts";

/** State of one box as known to the leader. */
export interface BoxRecord {
  readonly view: protocols.BoxView;
  /** Configuration revision that the box confirmed last. */
  readonly revision: number;
  /** Monotonic time until which the box may hold a lease, in ms. */
  readonly leaseUntilMs: number;
}

/** Boxes that have synced with this leader. */
export interface BoxTable {
  readonly records: ReadonlyMap<string, BoxRecord>;
  /** Monotonic time at which this leader was elected, in ms. */
  readonly leaderSinceMs: number;
  /** Duration of a lease, in ms. */
  readonly leaseMs: number;
}

/** Retention of a box after its lease expired, in lease durations. */
const RETENTION_LEASES = 30;

/**
 * Records a sync request of a box; its lease does not change.
 *
 * @param table The table.
 * @param view The box, as it describes itself.
 * @param revision Configuration revision that the box confirmed.
 * @returns The updated table.
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
 * Records that a box is granted a lease.
 *
 * @param table The table.
 * @param id Id of the box; an unknown box is ignored.
 * @param nowMs Current monotonic time, in ms.
 * @returns The updated table.
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
 * Tells whether a revision is in force on all boxes: every box has confirmed it
 * or can no longer hold a lease. Leases granted by an earlier leader expire
 * within one lease duration of this leader's election.
 *
 * @param table The table.
 * @param revision The configuration revision.
 * @param nowMs Current monotonic time, in ms.
 * @returns Whether the revision is in force.
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
 * Removes boxes whose lease expired long ago.
 *
 * @param table The table.
 * @param nowMs Current monotonic time, in ms.
 * @returns The updated table; the same object if nothing was removed.
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
 * Lists the boxes that hold a lease and so may serve callers.
 *
 * @param table The table.
 * @param nowMs Current monotonic time, in ms.
 * @returns The boxes, including draining ones.
 */
export function listLeasedBoxes(
  table: BoxTable,
  nowMs: number,
): readonly protocols.BoxView[] {
  return [...table.records.values()]
    .filter((record) => record.leaseUntilMs >= nowMs)
    .map((record) => record.view);
}
