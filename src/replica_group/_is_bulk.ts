import type * as consensus from "../consensus/mod.ts";

/** Entries from which a message counts as bulk. */
const MIN_BULK_ENTRIES = 8;

/** Reports whether a message helps a replica to catch up. */
export function isBulk(message: consensus.DriverMessage): boolean {
  if (message.kind === "snapshotPart") return true;
  return message.kind === "appendRequest" &&
    message.entries.length >= MIN_BULK_ENTRIES;
}
