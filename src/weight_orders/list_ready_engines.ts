import type * as registry from "../registry/mod.ts";

/**
 * Tells whether the configuration names a service; true for every service while
 * no configuration is in force.
 */
export type IsConfiguredService = (name: string) => boolean;

/**
 * Lists the engines, i.e. servers that hold models, which are ready and whose
 * heartbeats have not expired.
 *
 * @param servers Registry of all servers.
 * @param isService Selects services; servers of others are skipped.
 * @returns The engines, grouped by service.
 */
export function listReadyEngines(
  servers: Pick<registry.ServerRegistry, "listAll" | "listReady">,
  isService: IsConfiguredService,
): readonly registry.RegisteredServer[] {
  const modelServers = servers.listAll().filter((server) =>
    server.models.length > 0 && server.phase === "ready"
  );
  const services = new Set(modelServers.map((server) => server.service));
  return [...services].filter(isService).flatMap((service) =>
    servers.listReady(service)
  )
    .filter((server) => server.models.length > 0);
}
