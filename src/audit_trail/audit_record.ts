/** One accepted change. */
export interface AuditRecord {
  /** Configuration revision that the change made. */
  readonly revision: number;
  /** Leader's wall time at acceptance, in ms since the epoch. */
  readonly atMs: number;
  readonly account: string;
  /** Name of the template, or undefined for a change of the account. */
  readonly template: string | undefined;
  readonly operator: string;
  readonly requestId: string;
  /** Values before, as JSON text; undefined when created. */
  readonly before: string | undefined;
  readonly after: string;
}

/** Which records to list. */
export interface AuditFilter {
  readonly account?: string | undefined;
  readonly template?: string | undefined;
  readonly operator?: string | undefined;
  /** Only records after this revision. */
  readonly afterRevision?: number | undefined;
  /** Only records from this wall time on, in ms. */
  readonly fromMs?: number | undefined;
}

/**
 * Tells whether a record passes a filter.
 *
 * @param record The record.
 * @param filter The filter; what it leaves out passes.
 * @returns Whether it passes.
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
