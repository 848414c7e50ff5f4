import * as accounts from "../client_account/mod.ts";
import * as results from "../results/mod.ts";
import type * as configurations from "./configuration.ts";

function findFault(
  configuration: configurations.Configuration,
): string | undefined {
  const paths = new Set<string>();
  for (const route of configuration.routes) {
    const fault = findRouteFault(route, configuration);
    if (fault !== undefined) return `route ${route.name}: ${fault}`;
    const path = `${route.host} ${route.pathPrefix}`;
    if (paths.has(path)) {
      return `two routes serve ${path}`;
    }
    paths.add(path);
  }
  for (const service of configuration.services.values()) {
    const fault = findScalingFault(service);
    if (fault !== undefined) return `service ${service.name}: ${fault}`;
  }
  return accounts.findAccountError(configuration.accounts?.list() ?? []);
}

function findScalingFault(
  { scaling }: configurations.Service,
): string | undefined {
  if (scaling === undefined) return undefined;
  if (scaling.minimum > scaling.maximum) {
    return `its least number of engines is above the most, ${scaling.maximum}`;
  }
  const prices = [...scaling.prices.values(), scaling.spotPrice ?? 0];
  return prices.some((price) => price < 0) ? "a price is below 0" : undefined;
}

function findRouteFault(
  route: configurations.Route,
  configuration: configurations.Configuration,
): string | undefined {
  const { targets, timeoutMs, pathPrefix } = route;
  if (!(timeoutMs > 0)) return "its timeout is not above 0";
  if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
    return `its prefix ${pathPrefix} does not begin and end with a slash`;
  }
  const unknown = targets.find((target) =>
    !configuration.services.has(target.service)
  );
  if (unknown !== undefined) return `there is no service ${unknown.service}`;
  if (targets.some((target) => target.weight < 0)) {
    return "a weight is below 0";
  }
  const sum = targets.reduce((total, target) => total + target.weight, 0);
  return sum > 0 ? undefined : "its weights add up to 0";
}

/**
 * Checks the consistency of a parsed configuration.
 *
 * @param configuration The configuration.
 * @returns The same configuration, or `badParameters` with the first fault.
 */
export function checkConfiguration(
  configuration: configurations.Configuration,
): results.Result<configurations.Configuration> {
  const fault = findFault(configuration);
  if (fault === undefined) return results.createOk(configuration);
  return results.createFailure(
    "badParameters",
    `Cannot accept configuration ${configuration.version}: ${fault}`,
  );
}
