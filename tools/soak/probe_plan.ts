/** Time from a confirmation until a version must be in force, in ms. */
export const BOUND_MS = 2_500;
/** Additional time while a core or store box had a fault, in ms. */
const OUTER_BOUND_MS = 6_000;
/** Time without a fault after which a box must obey, in ms. */
const CALM_MS = 4_000;
/** Number of the newest versions whose probe routes are kept. */
export const KEPT_ROUTES = 40;
/** Versions by which the operator may be ahead of a probe of kept routes. */
export const MAX_LEAD = KEPT_ROUTES / 2;

const NOT_FOUND = 404;

/** Times that decide which version a box must obey, in wall-clock ms. */
export interface ProbeTimes {
  readonly sentAtMs: number;
  /** Last fault of the box itself. */
  readonly calmSinceMs: number;
  /** Last fault of a box with a disk. */
  readonly coreCalmSinceMs: number;
}

/** A request to the route of a version, and whether the route must be there. */
export interface Probe {
  readonly version: number;
  readonly isServed: boolean;
}

/**
 * Finds the newest version that was confirmed by a time.
 *
 * @param confirmed Times of the confirmations in ms, by version.
 * @param untilMs Latest time of the confirmation, in ms.
 */
export function findConfirmedVersion(
  confirmed: ReadonlyMap<number, number>,
  untilMs: number,
): number | undefined {
  const versions = [...confirmed].filter(([, atMs]) => atMs <= untilMs)
    .map(([version]) => version);
  return versions.length === 0 ? undefined : Math.max(...versions);
}

/**
 * Finds the version that a box must obey, or a newer one.
 *
 * @param confirmed Times of the confirmations in ms, by version.
 * @returns The version; undefined for a box that had a fault lately.
 */
export function findDueVersion(
  confirmed: ReadonlyMap<number, number>,
  { sentAtMs, calmSinceMs, coreCalmSinceMs }: ProbeTimes,
): number | undefined {
  if (sentAtMs - calmSinceMs < CALM_MS) return undefined;
  const isCoreCalm = sentAtMs - coreCalmSinceMs >= CALM_MS;
  const boundMs = BOUND_MS + (isCoreCalm ? 0 : OUTER_BOUND_MS);
  return findConfirmedVersion(confirmed, sentAtMs - boundMs);
}

/** Lists a probe of the due version's route, and one of a dropped route. */
export function listProbes(due: number): readonly Probe[] {
  const dropped = due - KEPT_ROUTES;
  return [
    { version: due, isServed: true },
    ...(dropped > 0 ? [{ version: dropped, isServed: false }] : []),
  ];
}

/** Whether the status shows that the box has a route for the request. */
export function isRouteServed(status: number): boolean {
  return status !== NOT_FOUND;
}

/** Prefix of the route that a version adds. */
export function createProbePrefix(version: number): string {
  return `/probe-${version}/`;
}

/** Lists the versions whose routes a version has. */
export function listKeptVersions(version: number): readonly number[] {
  const first = Math.max(1, version - KEPT_ROUTES + 1);
  return Array.from(
    { length: version - first + 1 },
    (_, index) => first + index,
  );
}
