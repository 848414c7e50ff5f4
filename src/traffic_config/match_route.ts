import type * as configurations from "./configuration.ts";

/**
 * Finds the route with the longest path prefix that matches a request.
 *
 * @param configuration The configuration in force.
 * @param host The request's host, without a port.
 * @param path The request's path, with or without a query.
 * @returns The route, or undefined if none matches.
 */
export function matchRoute(
  configuration: configurations.Configuration,
  host: string,
  path: string,
): configurations.Route | undefined {
  const [plainPath = ""] = path.split("?");
  let best: configurations.Route | undefined;
  for (const route of configuration.routes) {
    if (route.host !== host || !plainPath.startsWith(route.pathPrefix)) {
      continue;
    }
    const length = best?.pathPrefix.length ?? 0;
    if (route.pathPrefix.length > length) best = route;
  }
  return best;
}

/**
 * Picks a service for a request at random, by the weights of its route.
 *
 * @param route The route.
 * @param random A random number from 0 (inclusive) to 1 (exclusive).
 * @returns The service's name.
 */
export function pickService(
  route: configurations.Route,
  random: number,
): string {
  const sum = route.targets.reduce((total, item) => total + item.weight, 0);
  let remaining = random * sum;
  for (const target of route.targets) {
    if (target.weight <= 0) continue;
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return route.targets.findLast((target) => target.weight > 0)?.service ?? "";
}
