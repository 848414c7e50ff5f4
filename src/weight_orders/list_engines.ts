import type * as registry from "../registry/mod.ts";

/**
 * Lists the servers that hold models, take work and were heard lately.
 *
 * @param servers All servers.
 * @returns The engines, service by service.
 */
export function listEngines(
  servers: Pick<registry.ServerRegistry, "listAll" | "listReady">,
): readonly registry.RegisteredServer[] {
  const holding = servers.listAll().filter((server) =>
    server.models.length > 0 && server.phase === "ready"
  );
  const services = new Set(holding.map((server) => server.service));
  return [...services].flatMap((service) => servers.listReady(service))
    .filter((server) => server.models.length > 0);
}
