/** One start of a backend server. */
export interface Lifetime {
  /** Names the server; another start may bear the same name. */
  readonly id: string;
  /**
   * Wall time of the start by the server's own clock, in ms; undefined where
   * servers tell none, and each start has an id of its own.
   */
  readonly born: number | undefined;
}

/** Tells one start of a server from all others; for maps and sets. */
export type LifetimeKey = string;

/** How a lifetime stands to another one of the same id. */
export type LifetimeOrder = "former" | "same" | "later";

/**
 * How far the start of a server may lie ahead of a box's own wall clock, in ms.
 * Clocks of boxes and servers may differ by seconds; a start taken from further
 * ahead would hide every true one until then.
 */
const MAX_CLOCK_SKEW_MS = 60_000;
/** The same for an id that hides no other start, in ms. */
const MAX_UNKNOWN_CLOCK_SKEW_MS = 1_800_000;

/**
 * Says which of two starts of one server came first. A start that tells its
 * time is later than one that tells none.
 *
 * @param lifetime The lifetime to place.
 * @param known The one that it is placed against.
 * @returns How the first stands to the second.
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
 * Makes the key of a lifetime. An id holds no space, so no two lifetimes share
 * a key; without a time of start the id alone is the key.
 *
 * @param lifetime The lifetime.
 * @returns Its key.
 */
export function createLifetimeKey({ id, born }: Lifetime): LifetimeKey {
  return born === undefined ? id : `${id} ${born}`;
}

/**
 * Gives the id of the server that a key is of.
 *
 * @param lifetime Key of one of its starts.
 * @returns Its id.
 */
export function getServerId(lifetime: LifetimeKey): string {
  const [id = lifetime] = lifetime.split(" ");
  return id;
}

/**
 * Tells whether a start can be true by a box's own clock. The start that is known
 * is: a box whose clock was set back by minutes would refuse all servers
 * else. One that would replace a known start must fit the clock closely, one of an
 * id that nobody heard of only roughly.
 *
 * @param lifetime What a server says of its start.
 * @param known The latest start known under the same id, if any.
 * @param wallMs Wall time of the box, in ms.
 * @returns Whether to take it.
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
