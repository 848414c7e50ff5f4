import type * as registry from "../registry/mod.ts";
import type * as serverLoads from "./server_loads.ts";

/** What a choice goes by. */
export interface ServerChoice {
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
const CROSSING_MS = 2;
/** Spread of the tie break, in ms, so that boxes do not all pick the same. */
const TIE_MS = 3;

/**
 * Picks the server that should answer first. Servers that broke a request
 * lately, or had this one, are taken only when there is no other.
 *
 * @param choice The servers and what is known of them.
 * @returns The server, or undefined when there is none.
 */
export function chooseServer(
  choice: ServerChoice,
): registry.RegisteredServer | undefined {
  const { loads, tried, refused, failureDomain, draw } = choice;
  const servers = choice.servers.filter((server) =>
    !refused.has(server.lifetime) &&
    !(choice.avoidsFull && loads.isFull(server.lifetime))
  );
  const fresh = servers.filter((server) => !tried.has(server.lifetime));
  const sound = fresh.filter((server) => !loads.isAvoided(server.lifetime));
  const pool = [sound, fresh].find((list) => list.length > 0) ?? servers;
  let best: registry.RegisteredServer | undefined;
  let bestMs = Number.POSITIVE_INFINITY;
  for (const server of pool) {
    const crossingMs = server.failureDomain === failureDomain ? 0 : CROSSING_MS;
    const ms = loads.estimateMs(server) + crossingMs + draw() * TIE_MS;
    if (ms >= bestMs) continue;
    best = server;
    bestMs = ms;
  }
  return best;
}

/** Servers that are named at most; more are hardly taken at once. */
const MAX_CHOSEN = 8;

/**
 * Names the servers that should answer, best first; of those that had the
 * request already one at most, where there is no other.
 *
 * @param choice The servers and what is known of them.
 * @returns Some of them; none when there is none.
 */
export function chooseServers(
  choice: ServerChoice,
): readonly registry.RegisteredServer[] {
  const refused = new Set(choice.refused);
  const chosen: registry.RegisteredServer[] = [];
  while (chosen.length < MAX_CHOSEN) {
    const server = chooseServer({ ...choice, refused });
    if (server === undefined) break;
    if (choice.tried.has(server.lifetime) && chosen.length > 0) break;
    chosen.push(server);
    refused.add(server.lifetime);
  }
  return chosen;
}
