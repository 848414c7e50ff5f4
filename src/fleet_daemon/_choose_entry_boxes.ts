import type * as fleet from "../fleet/mod.ts";

/** Boxes of the caller's own failure domain that are enough to name alone. */
const MIN_SAME_DOMAIN_BOXES = 2;
/**
 * Silence after which a box is not named to callers, in ms. News of a box come
 * every 500 ms and are passed on every 250 ms; a box counts as gone only after
 * 1,800 ms. Callers that connect to a box without power wait a second for
 * nothing, while a box left out for a moment is hardly missed.
 */
const SUSPECT_TIMEOUT_MS = 1_100;
/**
 * Share of the boxes that may be left out; where more are silent, the news
 * rather than the boxes are at fault.
 */
const MAX_SUSPECT_FRACTION = 0.5;

/** What decides which boxes a caller is sent to. */
export interface EntryBoxChoiceOptions {
  /** Boxes that are not taken for gone. */
  readonly alive: readonly fleet.BoxRecord[];
  /** Failure domain of the caller. */
  readonly failureDomain: string;
  /** Time since the last news of a box, in ms. */
  readonly getSilenceMs: (id: string) => number;
}

/**
 * Chooses the boxes that a caller is sent to: ready ones of its failure domain,
 * or all where too few are near, without those that fell silent.
 *
 * @param choice What decides.
 * @returns The boxes.
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
