import * as yaml from "yaml";

/** A box of the fleet under test; each has a loopback address of its own. */
export interface SoakBox {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly isEntry: boolean;
  readonly hasDisk: boolean;
}

/** Ports that every box of the fleet listens on. */
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
 * @param firstSubnet First of the four third numbers of the addresses.
 */
export function listEntryBoxes(firstSubnet: number): readonly SoakBox[] {
  return Array.from(
    { length: ENTRY_BOX_COUNT },
    (_, index) => createBox(firstSubnet, index, "entry"),
  );
}

/**
 * Creates a store box.
 *
 * @param firstSubnet First of the four third numbers of the addresses.
 * @param index From 0; four in a row stand in four failure domains.
 */
export function createStoreBox(firstSubnet: number, index: number): SoakBox {
  return createBox(firstSubnet, index, "store");
}

/**
 * Writes the settings of a box, with the bounds of a fleet that bears one lost
 * disk.
 *
 * @param box The box.
 * @param entries All entry boxes.
 * @param dataFolder Its folder, unless it has no disk.
 * @param isFirstStart Whether all disks are empty.
 * @returns The text of the settings file.
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
