import * as storeGroupStates from "./store_group_state.ts";
import type * as storeLogReaders from "./store_log_reader.ts";

/** How long the group could not bear the next lost disk after one was lost. */
export interface SetWait {
  /** Name of the box whose disk was lost. */
  readonly box: string;
  /** Wall-clock time at which its emptied replica opened, in ms. */
  readonly openedAtMs: number;
  /**
   * Time from then until the group could bear the next loss, in ms; undefined
   * if it could not up to the last line.
   */
  readonly waitMs: number | undefined;
}

/** Whether a box opened a replica that has lost what it held. */
function isEmptied(
  state: storeGroupStates.StoreGroupState,
  line: storeLogReaders.LogLine,
): boolean {
  if (line.event !== "replica.opened") return false;
  const known = state.replicas.get(line.fields.get("box") ?? "");
  if (known === undefined) return false;
  return line.fields.get("isAdmitted") === "false" &&
    line.fields.get("lastIndex") === "0" &&
    line.fields.get("incarnation") !== known.incarnation;
}

/**
 * Measures for each emptied disk the time from the opening of the emptied
 * replica until the group can bear the next lost disk. A box that is removed
 * for good writes no line, so it counts as admitted until the set changes.
 *
 * @param lines Lines of all stores in any order.
 * @param lossesToBear Losses that the group must be able to bear.
 */
export function measureSetWaits(
  lines: readonly storeLogReaders.LogLine[],
  lossesToBear: number,
): readonly SetWait[] {
  let state = storeGroupStates.EMPTY_STATE;
  let waits: readonly SetWait[] = [];
  for (const line of lines.toSorted((a, b) => a.atMs - b.atMs)) {
    if (isEmptied(state, line)) {
      const box = line.fields.get("box") ?? "";
      waits = [...waits, { box, openedAtMs: line.atMs, waitMs: undefined }];
    }
    state = storeGroupStates.applyLine(state, line);
    if (!storeGroupStates.canBearLosses(state, lossesToBear)) continue;
    waits = waits.map((wait) => endWait(wait, line.atMs));
  }
  return waits;
}

function endWait(wait: SetWait, atMs: number): SetWait {
  if (wait.waitMs !== undefined) return wait;
  return { ...wait, waitMs: atMs - wait.openedAtMs };
}

/** Whether a wait passed a bound, or did not end. */
export function hasPassedBound(wait: SetWait, boundMs: number): boolean {
  return wait.waitMs === undefined || wait.waitMs > boundMs;
}
