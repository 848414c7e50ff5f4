/** An accepted change. */
export interface AuditRecord {
  /** Configuration revision created by the change. */
  readonly revision: number;
  /** Wall time of the leader at acceptance, in ms since the epoch. */
  readonly atMs: number;
  readonly account: string;
  /** Name of the rollout template; undefined for a change of the account. */
  readonly template: string | undefined;
  readonly operator: string;
  readonly requestId: string;
  /** Previous values as JSON; undefined for a creation. */
  readonly before: string | undefined;
  /** New values as JSON. */
  readonly after: string;
}

/** Criteria for audit records; all given ones must match. */
export interface AuditFilter {
  readonly account?: string | undefined;
  readonly template?: string | undefined;
  readonly operator?: string | undefined;
  /** Exclusive lower bound of the revision. */
  readonly afterRevision?: number | undefined;
  /** Inclusive lower bound of the wall time, in ms since the epoch. */
  readonly fromMs?: number | undefined;
}

/**
 * Tells whether a record matches a filter.
 *
 * @param record The record.
 * @param filter The filter; omitted criteria match every record.
 * @returns Whether the record matches.
 */
export function matchRecord(record: AuditRecord, filter: AuditFilter): boolean {
  if (filter.account !== undefined && record.account !== filter.account) {
    return false;
  }
  if (filter.template !== undefined && record.template !== filter.template) {
    return false;
  }
  if (filter.operator !== undefined && record.operator !== filter.operator) {
    return false;
  }
  if (record.revision <= (filter.afterRevision ?? 0)) return false;
  return record.atMs >= (filter.fromMs ?? 0);
}
