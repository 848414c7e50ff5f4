import * as loopbackNetworks from "../../src/fixtures/loopback_network.ts";
import type * as runPlatforms from "../stand_ins/run_platform.ts";
import type * as addressBooks from "../stand_ins/address_book.ts";

/** A backend server of a deployment. */
export interface DeployedServer extends runPlatforms.ListedServer {
  readonly service: string;
  readonly kind: "language" | "plain";
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly checksFence: boolean;
}

/** An entry box of a deployment. */
export interface DeployedBox extends addressBooks.ServiceAddress {
  readonly failureDomain: string;
  /** Whether the box runs a replica of the replicated log. */
  readonly hasState: boolean;
}

/** Port of the callers' API on each box. */
export const CALLER_PORT = 8080;
/** Port of the administration API on each box. */
export const ADMIN_PORT = 8081;
/** Port for RPC between boxes. */
export const PEER_PORT = 8082;
/** Port of the relays in front of the replicas. */
export const RELAY_PORT = 8092;
/** Port of the backend servers. */
export const SERVER_PORT = 8090;
/** Port of the box list, the weight store and the scorer. */
export const PLATFORM_PORT = 8095;

/** Loopback address of the box list. */
export const BOX_LIST_ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.4.1`;
/** Loopback address of the weight store. */
export const WEIGHT_STORE_ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.4.2`;
/** Loopback address of the scorer. */
export const SCORER_ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.4.3`;

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
 * Lists the entry boxes, spread over the failure domains. The first ones run
 * replicas.
 *
 * @param count Number of boxes.
 * @param replicaCount Number of boxes that run a replica.
 * @returns The boxes.
 */
export function listBoxes(
  count: number,
  replicaCount: number,
): readonly DeployedBox[] {
  return Array.from({ length: count }, (_, index) => ({
    box: `box-${index + 1}`,
    address: `${loopbackNetworks.LOOPBACK_NETWORK}.1.${index + 1}`,
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
    address: `${loopbackNetworks.LOOPBACK_NETWORK}.${network}.${index + 1}`,
    port: SERVER_PORT,
    failureDomain: getFailureDomain(index),
    state: "live",
    checksFence: index % 2 === 0,
  };
}

/**
 * Lists the backend servers, spread over the failure domains.
 *
 * @param engineCount Number of `sommelier-lm` engines.
 * @param plainCount Number of `cellar-app` servers.
 * @returns The backend servers.
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
