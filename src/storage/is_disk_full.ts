/** Error codes of a full disk or an exhausted quota. */
const DISK_FULL_CODES: ReadonlySet<unknown> = new Set(["ENOSPC", "EDQUOT"]);

/**
 * Reports whether a write failed because the disk is full. Such a write may be
 * retried; any other error is permanent.
 *
 * @param error The error that the write threw.
 * @returns Whether the disk is full.
 */
export function isDiskFull(error: unknown): boolean {
  return DISK_FULL_CODES.has(
    (error as { readonly code?: unknown } | null)?.code,
  );
}
