import type * as registeredServers from "./registered_server.ts";

/**
 * Makes a ready server without models, for tests.
 *
 * @param id Its id.
 * @param changes What is different about it.
 * @returns The server.
 */
export function createServer(
  id: string,
  changes: Partial<registeredServers.RegisteredServer> = {},
): registeredServers.RegisteredServer {
  return {
    id,
    service: "lm",
    address: "127.0.0.1",
    port: 1,
    failureDomain: "d",
    slots: 1,
    phase: "ready",
    isSpot: false,
    leavesMs: undefined,
    coldMs: 0,
    sequence: 1,
    models: [],
    ...changes,
  };
}
