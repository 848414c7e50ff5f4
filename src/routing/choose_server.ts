import * as backendServers from "../backend_server/mod.ts";

/** A backend server and its load, as known to one box. */
export interface Candidate {
  readonly server: backendServers.BackendServer;
  /** Number of requests that it serves concurrently. */
  readonly slots: number;
  /** Estimated requests at the server: those reported plus those sent since. */
  readonly expectedRequests: number;
  /** Loaded weight version by model; empty for servers without models. */
  readonly models: ReadonlyMap<string, number>;
  /** Whether it failed recently; used only if all eligible servers did. */
  readonly isSuspect: boolean;
  /** Role that the server reports. */
  readonly role: backendServers.ServerRole;
}

/** Requirements of a request on its server. */
export interface RoutingRequirements {
  readonly service: string;
  /** Model that must be loaded; undefined for services without models. */
  readonly model: string | undefined;
  /** Use of the request, matched against the server's role. */
  readonly use: backendServers.ServerUse;
  /** Minimum weight version of the model. */
  readonly minVersion: number;
  /** Ids of servers that have already been tried. */
  readonly excluded: ReadonlySet<string>;
  /** Ids of servers whose prefix cache likely holds the prompt's prefix. */
  readonly prefixHolders: ReadonlySet<string>;
}

/** Highest load of a prefix holder, as a multiple of the mean load. */
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
  if (!backendServers.canServeUse(candidate.role, requirements.use)) {
    return false;
  }
  if (requirements.model === undefined) return true;
  const weightVersion = models.get(requirements.model);
  return weightVersion !== undefined &&
    weightVersion >= requirements.minVersion;
}

/** Returns requests per slot with one more request added. */
function computeLoad(candidate: Candidate): number {
  return (candidate.expectedRequests + 1) / candidate.slots;
}

/** Chooses the least loaded prefix holder if its load is within the bound. */
function choosePrefixHolder(
  pool: readonly Candidate[],
  prefixHolders: ReadonlySet<string>,
): backendServers.BackendServer | undefined {
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
 * Chooses a server for a request: a prefix holder if its load is within a bound
 * relative to the mean, otherwise the less loaded of two servers drawn at random
 * (power of two choices). The random draw keeps boxes with the same stale load
 * reports from all sending to the same server.
 *
 * @param candidates All backend servers.
 * @param requirements Requirements of the request.
 * @param drawRandom Returns a random number in [0, 1).
 * @returns The server, or undefined if none is eligible.
 */
export function chooseServer(
  candidates: readonly Candidate[],
  requirements: RoutingRequirements,
  drawRandom: () => number,
): backendServers.BackendServer | undefined {
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
