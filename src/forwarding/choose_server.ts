import type * as registry from "../registry/mod.ts";
import type * as serverLoads from "./server_loads.ts";

/** Candidate servers and the criteria to choose among them. */
export interface ServerChoiceOptions {
  readonly servers: readonly registry.RegisteredServer[];
  readonly loads: serverLoads.ServerLoads;
  /** Servers that were sent this request before; used only as a last resort. */
  readonly tried: ReadonlySet<registry.LifetimeKey>;
  /** Servers that refused this request without running it; excluded. */
  readonly refused: ReadonlySet<registry.LifetimeKey>;
  /** Whether servers that recently refused a request as full are excluded. */
  readonly avoidsFull: boolean;
  /** Failure domain of this box. */
  readonly failureDomain: string;
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly draw: () => number;
}

/** Latency added to servers in another failure domain, in ms. */
const CROSS_DOMAIN_COST_MS = 2;
/** Maximum random latency added, in ms, to spread boxes over equal servers. */
const MAX_JITTER_MS = 3;

/**
 * Chooses the server with the lowest estimated latency. Servers that recently
 * broke a request, or were sent this one before, are used only if there is no
 * other.
 *
 * @param options The candidate servers and their loads.
 * @returns The server, or undefined if none is eligible.
 */
export function chooseServer(
  options: ServerChoiceOptions,
): registry.RegisteredServer | undefined {
  const { loads, tried, refused, failureDomain, draw } = options;
  const servers = options.servers.filter((server) =>
    !refused.has(server.lifetime) &&
    !(options.avoidsFull && loads.isFull(server.lifetime))
  );
  const untried = servers.filter((server) => !tried.has(server.lifetime));
  const healthy = untried.filter((server) => !loads.isAvoided(server.lifetime));
  const candidates = [healthy, untried].find((list) => list.length > 0) ??
    servers;
  let best: registry.RegisteredServer | undefined;
  let bestLatencyMs = Number.POSITIVE_INFINITY;
  for (const server of candidates) {
    const crossDomainMs = server.failureDomain === failureDomain
      ? 0
      : CROSS_DOMAIN_COST_MS;
    const latencyMs = loads.estimateLatencyMs(server) + crossDomainMs +
      draw() * MAX_JITTER_MS;
    if (latencyMs >= bestLatencyMs) continue;
    best = server;
    bestLatencyMs = latencyMs;
  }
  return best;
}

/** Maximum number of servers in a ranking. */
const MAX_RANKED = 8;

/**
 * Ranks the eligible servers, best first. A server that was sent the request
 * before is listed only if there is no other, and then alone.
 *
 * @param options The candidate servers and their loads.
 * @returns At most eight servers; empty if none is eligible.
 */
export function rankServers(
  options: ServerChoiceOptions,
): readonly registry.RegisteredServer[] {
  const excluded = new Set(options.refused);
  const ranked: registry.RegisteredServer[] = [];
  while (ranked.length < MAX_RANKED) {
    const server = chooseServer({ ...options, refused: excluded });
    if (server === undefined) break;
    if (options.tried.has(server.lifetime) && ranked.length > 0) break;
    ranked.push(server);
    excluded.add(server.lifetime);
  }
  return ranked;
}
