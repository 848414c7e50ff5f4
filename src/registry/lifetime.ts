/** One lifetime of a backend server's process, from its start to its end. */
export interface Lifetime {
  /** Server id; a restarted server may keep it. */
  readonly id: string;
  /**
   * Start time by the server's own wall clock, in ms; undefined if the server
   * reports none and uses a new id for each start.
   */
  readonly born: number | undefined;
}

/** Identifies a lifetime, for use in maps and sets. */
export type LifetimeKey = string;

/** Order of a lifetime relative to another one with the same id. */
export type LifetimeOrder = "former" | "same" | "later";

/**
 * Largest accepted lead of a server's start time over this box's wall clock, in
 * ms; clocks of boxes and servers may differ by seconds. A start time further in
 * the future would hide all restarts until then.
 */
const MAX_CLOCK_SKEW_MS = 60_000;
/** The same for an id without a known lifetime, which hides no other, in ms. */
const MAX_UNKNOWN_CLOCK_SKEW_MS = 1_800_000;

/**
 * Compares two lifetimes of one server by their start times. A lifetime with a
 * start time is later than one without.
 *
 * @param lifetime The lifetime to compare.
 * @param known The lifetime to compare it with.
 * @returns The order of the first relative to the second.
 */
export function compareLifetimes(
  lifetime: Pick<Lifetime, "born">,
  known: Pick<Lifetime, "born">,
): LifetimeOrder {
  const left = lifetime.born ?? Number.NEGATIVE_INFINITY;
  const right = known.born ?? Number.NEGATIVE_INFINITY;
  if (left === right) return "same";
  return left < right ? "former" : "later";
}

/**
 * Creates the key of a lifetime. Ids contain no space, so keys are unique.
 * Without a start time, the key is the id alone.
 *
 * @param lifetime The lifetime.
 * @returns Its key.
 */
export function createLifetimeKey({ id, born }: Lifetime): LifetimeKey {
  return born === undefined ? id : `${id} ${born}`;
}

/**
 * Returns the server id in the key of a lifetime.
 *
 * @param lifetime The key.
 * @returns The server id.
 */
export function getServerId(lifetime: LifetimeKey): string {
  const [id = lifetime] = lifetime.split(" ");
  return id;
}

/**
 * Checks a reported start time against this box's clock. The known start time is
 * always accepted, so that a clock that was set back doesn't refuse running
 * servers. For an id without a known lifetime the limit is wider.
 *
 * @param lifetime The reported start time.
 * @param known The latest known lifetime with the same id, if any.
 * @param wallMs Current wall time of this box, in ms.
 * @returns Whether the start time is plausible.
 */
export function isPlausibleStart(
  lifetime: Pick<Lifetime, "born">,
  known: Pick<Lifetime, "born"> | undefined,
  wallMs: number,
): boolean {
  const { born } = lifetime;
  if (born === undefined) return true;
  if (known === undefined) return born <= wallMs + MAX_UNKNOWN_CLOCK_SKEW_MS;
  const isKnown = compareLifetimes(lifetime, known) === "same";
  return isKnown || born <= wallMs + MAX_CLOCK_SKEW_MS;
}
