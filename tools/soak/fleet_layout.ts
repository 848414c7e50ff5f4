import * as yaml from "yaml";

/** A box of the fleet under test, with its own loopback address. */
export interface SoakBox {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly isEntry: boolean;
  readonly hasDisk: boolean;
}

/** Ports of all boxes; store boxes use only `peer` and `metrics`. */
export const PORTS = {
  caller: 8161,
  directory: 8164,
  control: 8166,
  ready: 8167,
  peer: 7720,
  metrics: 9464,
} as const;

const FAILURE_DOMAINS = [
  "port-louis",
  "grand-baie",
  "pamplemousses",
  "triolet",
];
const ENTRY_BOX_COUNT = 8;
const SEED_COUNT = 3;

function createBox(
  firstSubnet: number,
  index: number,
  kind: "entry" | "store",
): SoakBox {
  const domainIndex = index % FAILURE_DOMAINS.length;
  const ordinal = Math.floor(index / FAILURE_DOMAINS.length) + 1;
  const failureDomain = FAILURE_DOMAINS[domainIndex] ?? "";
  const isEntry = kind === "entry";
  const hostOffset = isEntry ? 9 : 49;
  return {
    name: `${kind}-${failureDomain}-${ordinal}`,
    address: `127.77.${firstSubnet + domainIndex}.${hostOffset + ordinal}`,
    failureDomain,
    isEntry,
    hasDisk: !isEntry || ordinal === 1,
  };
}

/**
 * Lists the entry boxes: one with a disk and one without in each failure
 * domain.
 *
 * @param firstSubnet Third octet of the first of four consecutive /24 subnets,
 * one for each failure domain.
 */
export function listEntryBoxes(firstSubnet: number): readonly SoakBox[] {
  return Array.from(
    { length: ENTRY_BOX_COUNT },
    (_, index) => createBox(firstSubnet, index, "entry"),
  );
}

/**
 * Creates the description of a store box.
 *
 * @param firstSubnet Third octet of the first of four consecutive /24 subnets.
 * @param index Zero-based; consecutive indexes cycle through the four failure
 * domains.
 */
export function createStoreBox(firstSubnet: number, index: number): SoakBox {
  return createBox(firstSubnet, index, "store");
}

/**
 * Renders the settings of a box in a fleet that tolerates the loss of one disk.
 *
 * @param box The box.
 * @param entries All entry boxes; the first ones are the seeds.
 * @param dataFolder Data folder; ignored for a box without a disk.
 * @param isFirstStart Whether the fleet starts for the first time, with empty
 * disks.
 * @returns The settings file in YAML.
 */
export function renderSettings(
  box: SoakBox,
  entries: readonly SoakBox[],
  dataFolder: string,
  isFirstStart: boolean,
): string {
  const { name, address, failureDomain, isEntry } = box;
  const listen = isEntry
    ? {
      caller: `${address}:${PORTS.caller}`,
      ready: `${address}:${PORTS.ready}`,
      control: `${address}:${PORTS.control}`,
      directory: `${address}:${PORTS.directory}`,
    }
    : {};
  return yaml.stringify({
    box: { name, address, failureDomain, region: "mu-north" },
    roles: { entry: isEntry, store: !isEntry },
    listen: { ...listen, peerPort: PORTS.peer, metrics: PORTS.metrics },
    seeds: entries.slice(0, SEED_COUNT).map((entry) =>
      `${entry.address}:${PORTS.control}`
    ),
    isFirstStart,
    ...(box.hasDisk ? { dataFolder } : {}),
    memoryMb: 400,
    lossesToBear: 1,
    bounds: {
      heartbeatMs: 1_200,
      stopMs: 8_000,
      orderLeaseMs: 3_000,
      addressesKeepMs: 5_000,
      resultsKeepMs: 120_000,
    },
  });
}
