import type * as boxDirectories from "./box_directory.ts";
import type * as boxRecords from "./box_record.ts";

/** Silence after which another core box is chosen as the relay, in ms. */
const RELAY_TIMEOUT_MS = 1_200;

/**
 * Chooses the core box that relays changes to a box: one in its failure domain
 * if there is one.
 *
 * @param directory The boxes that it knows.
 * @param self Its own record.
 * @returns The id of the core box; undefined if none was heard from lately.
 */
export function chooseRelay(
  directory: boxDirectories.BoxDirectory,
  self: boxRecords.BoxRecord,
): string | undefined {
  const candidates = directory.listAlive().filter((box) =>
    box.isCore && !box.isLeaving && box.id !== self.id &&
    directory.getSilenceMs(box.id) < RELAY_TIMEOUT_MS
  );
  const sameDomain = candidates.find((box) =>
    box.failureDomain === self.failureDomain
  );
  return (sameDomain ?? candidates[0])?.id;
}
