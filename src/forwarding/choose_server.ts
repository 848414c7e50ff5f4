import type * as registry from "../registry/mod.ts";
import type * as serverLoads from "./server_loads.ts";

/** What a choice goes by. */
export interface ServerChoiceOptions {
  readonly servers: readonly registry.RegisteredServer[];
  readonly loads: serverLoads.ServerLoads;
  /** Servers that had this request already; taken only when there is no other. */
  readonly tried: ReadonlySet<registry.LifetimeKey>;
  /** Servers that refused this request unrun; not asked again. */
  readonly refused: ReadonlySet<registry.LifetimeKey>;
  /** Whether servers that refused others just now are passed over. */
  readonly avoidsFull: boolean;
  readonly failureDomain: string;
  /** Gives a number from 0 up to, but not including, 1. */
  readonly draw: () => number;
}

/** What crossing failure domains costs against an estimate, in ms. */
const CROSS_DOMAIN_COST_MS = 2;
/** Spread of the tie break, in ms, so that boxes do not all pick the same. */
const MAX_JITTER_MS = 3;

/**
 * Picks the server that should answer first. Servers that broke a request
 * lately, or had this one, are taken only when there is no other.
 *
 * @param options The servers and what is known of them.
 * @returns The server, or undefined when there is none.
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

/** Servers that are named at most; more are hardly taken at once. */
const MAX_RANKED = 8;

/**
 * Names the servers that should answer, best first; of those that had the
 * request already one at most, where there is no other.
 *
 * @param options The servers and what is known of them.
 * @returns Some of them; none when there is none.
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
