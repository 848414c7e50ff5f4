import * as backends from "../backend_server/mod.ts";

/** A backend server as one box sees it. */
export interface Candidate {
  readonly server: backends.BackendServer;
  /** Requests that it serves at once. */
  readonly slots: number;
  /** Requests expected in it: reported ones and those sent since. */
  readonly expected: number;
  /** Weight version by model; empty for plain servers. */
  readonly models: ReadonlyMap<string, number>;
  /** It failed lately; used only when all others failed too. */
  readonly isSuspect: boolean;
  /** Role as reported. */
  readonly role: backends.ServerRole;
}

/** What a request needs. */
export interface Need {
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
  readonly preferred: ReadonlySet<string>;
}

/** Load, against the mean, up to which a server that holds the prefix is used. */
const AFFINITY_LOAD_BOUND = 1.25;

function canServe(candidate: Candidate, need: Need): boolean {
  const { server, models } = candidate;
  if (server.service !== need.service || server.state !== "live") return false;
  if (need.excluded.has(server.id)) return false;
  if (!backends.canServeUse(candidate.role, need.use)) return false;
  if (need.model === undefined) return true;
  const weightVersion = models.get(need.model);
  return weightVersion !== undefined && weightVersion >= need.minVersion;
}

/** Load after taking one more request, in servers' worth of slots. */
function computeLoad(candidate: Candidate): number {
  return (candidate.expected + 1) / candidate.slots;
}

/** The least loaded server that holds the prefix, unless its load is high. */
function choosePreferred(
  pool: readonly Candidate[],
  preferred: ReadonlySet<string>,
): backends.BackendServer | undefined {
  if (preferred.size === 0) return undefined;
  const [best] = pool
    .filter((candidate) => preferred.has(candidate.server.id))
    .sort((a, b) => computeLoad(a) - computeLoad(b));
  if (best === undefined) return undefined;
  const total = pool.reduce(
    (sum, candidate) => sum + computeLoad(candidate),
    0,
  );
  const bound = AFFINITY_LOAD_BOUND * total / pool.length;
  return computeLoad(best) <= bound ? best.server : undefined;
}

/**
 * Chooses a server that holds the prompt's prefix while its load is bounded
 * by the mean; otherwise by the power of two choices: of two servers drawn at
 * random, the less loaded. Many boxes that see the same lagged report do not
 * herd.
 *
 * @param candidates All backend servers.
 * @param need What the request needs.
 * @param draw Gives a number from 0 to below 1.
 * @returns The server, or undefined if none can serve.
 */
export function chooseServer(
  candidates: readonly Candidate[],
  need: Need,
  draw: () => number,
): backends.BackendServer | undefined {
  const able = candidates.filter((candidate) => canServe(candidate, need));
  const sound = able.filter((candidate) => !candidate.isSuspect);
  const pool = sound.length > 0 ? sound : able;
  const holder = choosePreferred(pool, need.preferred);
  if (holder !== undefined) return holder;
  const first = pool[Math.floor(draw() * pool.length)];
  const second = pool[Math.floor(draw() * pool.length)];
  if (first === undefined || second === undefined) return undefined;
  const isFirst = computeLoad(first) <= computeLoad(second);
  return isFirst ? first.server : second.server;
}
