/** Address, roles and state that a box publishes to the others. */
export interface BoxRecord {
  /** Unique id: the IP address of the box. */
  readonly id: string;
  /** Name that operators use. */
  readonly name: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Port for connections from other boxes. */
  readonly peerPort: number;
  /** Address for callers, as IP:PORT; undefined on boxes that serve none. */
  readonly callerAddress: string | undefined;
  /** Whether it holds a replica of the configuration and relays messages. */
  readonly isCore: boolean;
  /** Whether it holds a replica of the submissions. */
  readonly isStore: boolean;
  /** Whether callers may be directed to it. */
  readonly isReady: boolean;
  /** Whether it is being stopped or drained. */
  readonly isLeaving: boolean;
  /**
   * Latest term in which it has been leader of its replica group since its
   * start; 0 for none. The box with the highest value is the current or last
   * leader.
   */
  readonly ledTerm: number;
  /** Wall-clock time at which its process started, in Unix ms. */
  readonly startedAtMs: number;
  /** Incremented with each refresh; starts anew with each process. */
  readonly sequence: number;
}

/** Version of a record, ordered by start time, then by sequence. */
export interface RecordVersion {
  readonly startedAtMs: number;
  readonly sequence: number;
}

/**
 * Checks whether a record is newer than a known version.
 *
 * @param record The record.
 * @param known The known version; undefined if there is none.
 * @returns Whether the record is newer.
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
 * Describes the variable fields of a record, without its sequence. A refresh
 * can stand in for a record with the same description.
 *
 * @param record The record.
 * @returns The fields, separated by spaces.
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
