import * as backends from "../backend_server/mod.ts";

/** A backend server as one box sees it. */
export interface Candidate {
  readonly server: backends.BackendServer;
  /** Requests that it serves at once. */
  readonly slots: number;
  /** Requests expected in it: reported ones and those sent since. */
  readonly expectedRequests: number;
  /** Weight version by model; empty for plain servers. */
  readonly models: ReadonlyMap<string, number>;
  /** It failed lately; used only when all others failed too. */
  readonly isSuspect: boolean;
  /** Role as reported. */
  readonly role: backends.ServerRole;
}

/** What a request needs. */
export interface RoutingRequirements {
  readonly service: string;
  /** Model that must be loaded; undefined for plain services. */
  readonly model: string | undefined;
  /** What the request is for. */
  readonly use: backends.ServerUse;
  /** Oldest weight version that may serve. */
  readonly minVersion: number;
  /** Servers that were tried already. */
  readonly excluded: ReadonlySet<string>;
  /** Servers that likely hold the prompt's prefix. */
  readonly prefixHolders: ReadonlySet<string>;
}

/** Load, against the mean, up to which a server that holds the prefix is used. */
const MAX_PREFIX_LOAD_FACTOR = 1.25;

function canServe(
  candidate: Candidate,
  requirements: RoutingRequirements,
): boolean {
  const { server, models } = candidate;
  if (server.service !== requirements.service || server.state !== "live") {
    return false;
  }
  if (requirements.excluded.has(server.id)) return false;
  if (!backends.canServeUse(candidate.role, requirements.use)) return false;
  if (requirements.model === undefined) return true;
  const weightVersion = models.get(requirements.model);
  return weightVersion !== undefined &&
    weightVersion >= requirements.minVersion;
}

/** Load after taking one more request, in servers' worth of slots. */
function computeLoad(candidate: Candidate): number {
  return (candidate.expectedRequests + 1) / candidate.slots;
}

/** The least loaded server that holds the prefix, unless its load is high. */
function choosePrefixHolder(
  pool: readonly Candidate[],
  prefixHolders: ReadonlySet<string>,
): backends.BackendServer | undefined {
  if (prefixHolders.size === 0) return undefined;
  const [best] = pool
    .filter((candidate) => prefixHolders.has(candidate.server.id))
    .sort((a, b) => computeLoad(a) - computeLoad(b));
  if (best === undefined) return undefined;
  const total = pool.reduce(
    (sum, candidate) => sum + computeLoad(candidate),
    0,
  );
  const bound = MAX_PREFIX_LOAD_FACTOR * total / pool.length;
  return computeLoad(best) <= bound ? best.server : undefined;
}

/**
 * Chooses a server that holds the prompt's prefix while its load is bounded
 * by the mean; otherwise by the power of two choices: of two servers drawn at
 * random, the less loaded. Many boxes that see the same lagged report do not
 * herd.
 *
 * @param candidates All backend servers.
 * @param requirements What the request needs.
 * @param drawRandom Gives a number from 0 to below 1.
 * @returns The server, or undefined if none can serve.
 */
export function chooseServer(
  candidates: readonly Candidate[],
  requirements: RoutingRequirements,
  drawRandom: () => number,
): backends.BackendServer | undefined {
  const eligible = candidates.filter((candidate) =>
    canServe(candidate, requirements)
  );
  const healthy = eligible.filter((candidate) => !candidate.isSuspect);
  const pool = healthy.length > 0 ? healthy : eligible;
  const prefixHolder = choosePrefixHolder(pool, requirements.prefixHolders);
  if (prefixHolder !== undefined) return prefixHolder;
  const first = pool[Math.floor(drawRandom() * pool.length)];
  const second = pool[Math.floor(drawRandom() * pool.length)];
  if (first === undefined || second === undefined) return undefined;
  const isFirst = computeLoad(first) <= computeLoad(second);
  return isFirst ? first.server : second.server;
}
