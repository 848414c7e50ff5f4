import type * as registry from "../registry/mod.ts";

/** Tells whether a configuration names a service; true while there is none. */
export type IsConfiguredService = (name: string) => boolean;

/**
 * Lists the servers that hold models, take work and were heard lately.
 *
 * @param servers All servers.
 * @param isService Servers of other services are passed over.
 * @returns The engines, service by service.
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
