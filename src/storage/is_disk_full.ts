/** Codes of a disk that takes no more bytes, for now. */
const DISK_FULL_CODES: ReadonlySet<unknown> = new Set(["ENOSPC", "EDQUOT"]);

/**
 * Tells whether a write failed because the disk is full. Such a write may
 * succeed later; any other failure is final.
 *
 * @param error What the write threw.
 * @returns Whether the disk is full.
 */
export function isDiskFull(error: unknown): boolean {
  return DISK_FULL_CODES.has(
    (error as { readonly code?: unknown } | null)?.code,
  );
}
