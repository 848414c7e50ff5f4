/** What one box tells the others of itself. */
export interface BoxRecord {
  /** IP address; it tells one box from another. */
  readonly id: string;
  /** Name that operators use. */
  readonly name: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Port for other boxes. */
  readonly peerPort: number;
  /** Where callers connect, as IP:PORT; undefined on boxes that serve none. */
  readonly callerAddress: string | undefined;
  /** Whether it keeps a replica of the configuration, and passes news on. */
  readonly isCore: boolean;
  /** Whether it keeps a replica of the submissions. */
  readonly isStore: boolean;
  /** Whether callers may be sent here. */
  readonly isReady: boolean;
  /** Whether it is being stopped or emptied. */
  readonly isLeaving: boolean;
  /**
   * Newest term in which it has led its replica group since its start; 0 for
   * none. The box with the highest leads, or led last.
   */
  readonly ledTerm: number;
  /** Wall time in ms when its process started; a restart raises it. */
  readonly startedAtMs: number;
  /** Rises with each refresh of one process. */
  readonly sequence: number;
}

/** How new a record is. */
export interface RecordVersion {
  readonly startedAtMs: number;
  readonly sequence: number;
}

/**
 * Tells whether a record is newer than a known version.
 *
 * @param record The record.
 * @param known The known version, if any.
 * @returns Whether it is newer.
 */
export function isNewer(
  record: RecordVersion,
  known: RecordVersion | undefined,
): boolean {
  if (known === undefined) return true;
  if (record.startedAtMs !== known.startedAtMs) {
    return record.startedAtMs > known.startedAtMs;
  }
  return record.sequence > known.sequence;
}

/**
 * Describes what a record says but for its sequence. Records with the same
 * description need not be told to others at once.
 *
 * @param record The record.
 * @returns A short text.
 */
export function describeContent(record: BoxRecord): string {
  return [
    record.startedAtMs,
    record.isReady,
    record.isLeaving,
    record.callerAddress,
    record.isCore,
    record.isStore,
    record.ledTerm,
  ].join(" ");
}
