import type * as fleet from "../fleet/mod.ts";

/** Ready boxes that a failure domain needs to serve its callers alone. */
const MIN_SAME_DOMAIN_BOXES = 2;
/**
 * Time without gossip about a box after which callers are not sent to it, in
 * ms: more than two refreshes, which come every 500 ms and are relayed within 250.
 * It is shorter than the time after which the directory drops the box, as a
 * caller that connects to a dead box waits for its connect timeout of a second.
 */
const SUSPECT_TIMEOUT_MS = 1_100;
/**
 * Largest fraction of the boxes that may be left out. If more are silent, the
 * fault is likely in the gossip and not in the boxes.
 */
const MAX_SUSPECT_FRACTION = 0.5;

/** Inputs of `chooseEntryBoxes`. */
export interface EntryBoxChoiceOptions {
  /** Boxes that the directory lists as alive. */
  readonly alive: readonly fleet.BoxRecord[];
  /** Failure domain of the caller. */
  readonly failureDomain: string;
  /** Time since the last gossip about a box, in ms. */
  readonly getSilenceMs: (id: string) => number;
}

/**
 * Chooses the boxes that a caller is sent to: the ready boxes of its failure
 * domain, or all ready boxes if the domain has too few, without suspect ones.
 *
 * @param options Boxes alive, the caller's failure domain, and silence times.
 * @returns The boxes; empty only if no ready box serves callers.
 */
export function chooseEntryBoxes(
  { alive, failureDomain, getSilenceMs }: EntryBoxChoiceOptions,
): readonly fleet.BoxRecord[] {
  const ready = alive.filter((box) =>
    box.isReady && !box.isLeaving && box.callerAddress !== undefined
  );
  const sameDomain = ready.filter((box) => box.failureDomain === failureDomain);
  const chosen = sameDomain.length >= MIN_SAME_DOMAIN_BOXES
    ? sameDomain
    : ready;
  const responsive = chosen.filter((box) =>
    getSilenceMs(box.id) < SUSPECT_TIMEOUT_MS
  );
  const isPlausible =
    responsive.length >= chosen.length * (1 - MAX_SUSPECT_FRACTION) &&
    responsive.length > 0;
  return isPlausible ? responsive : chosen;
}
