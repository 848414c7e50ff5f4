import type * as runPlatforms from "../stand_ins/run_platform.ts";
import type * as addressBooks from "../stand_ins/address_book.ts";

/** A backend server of the deployment. */
export interface DeployedServer extends runPlatforms.ListedServer {
  readonly service: string;
  readonly kind: "language" | "plain";
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly checksFence: boolean;
}

/** An entry box of the deployment. */
export interface DeployedBox extends addressBooks.ServiceAddress {
  readonly failureDomain: string;
  readonly hasState: boolean;
}

/** Ports and addresses of the deployment; all on loopback. */
export const CALLER_PORT = 8080;
export const ADMIN_PORT = 8081;
export const PEER_PORT = 8082;
export const RELAY_PORT = 8092;
export const SERVER_PORT = 8090;
export const PLATFORM_PORT = 8095;

export const BOX_LIST_ADDRESS = "127.0.4.1";
export const WEIGHT_STORE_ADDRESS = "127.0.4.2";
export const SCORER_ADDRESS = "127.0.4.3";

const FAILURE_DOMAINS = [
  "port-louis",
  "grand-baie",
  "pamplemousses",
  "triolet",
];

function getFailureDomain(index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? "";
}

/**
 * Lists entry boxes, the first ones with a disk.
 *
 * @param count How many boxes.
 * @param replicaCount How many of them hold the state.
 * @returns The boxes, spread over the failure domains.
 */
export function listBoxes(
  count: number,
  replicaCount: number,
): readonly DeployedBox[] {
  return Array.from({ length: count }, (_, index) => ({
    box: `box-${index + 1}`,
    address: `127.0.1.${index + 1}`,
    port: CALLER_PORT,
    failureDomain: getFailureDomain(index),
    hasState: index < replicaCount,
  }));
}

function createServer(
  service: string,
  kind: DeployedServer["kind"],
  network: number,
  index: number,
): DeployedServer {
  return {
    id: `${service}-${index + 1}`,
    service,
    kind,
    address: `127.0.${network}.${index + 1}`,
    port: SERVER_PORT,
    failureDomain: getFailureDomain(index),
    state: "live",
    checksFence: index % 2 === 0,
  };
}

/**
 * Lists the backend servers.
 *
 * @param engineCount How many sommelier-lm engines.
 * @param plainCount How many cellar-app servers.
 * @returns The servers.
 */
export function listServers(
  engineCount: number,
  plainCount: number,
): readonly DeployedServer[] {
  return [
    ...Array.from(
      { length: engineCount },
      (_, index) => createServer("sommelier-lm", "language", 2, index),
    ),
    ...Array.from(
      { length: plainCount },
      (_, index) => createServer("cellar-app", "plain", 3, index),
    ),
  ];
}
