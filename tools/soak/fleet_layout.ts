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
const ENTRY_BOXES = 8;
const SEEDS = 3;

function createBox(
  net: number,
  index: number,
  kind: "entry" | "store",
): SoakBox {
  const domain = index % FAILURE_DOMAINS.length;
  const number = Math.floor(index / FAILURE_DOMAINS.length) + 1;
  const failureDomain = FAILURE_DOMAINS[domain] ?? "";
  const isEntry = kind === "entry";
  const base = isEntry ? 9 : 49;
  return {
    name: `${kind}-${failureDomain}-${number}`,
    address: `127.77.${net + domain}.${base + number}`,
    failureDomain,
    isEntry,
    hasDisk: !isEntry || number === 1,
  };
}

/**
 * Lists the entry boxes: one with a disk and one without in each failure
 * domain.
 *
 * @param net First of the four third numbers of the addresses.
 */
export function listEntryBoxes(net: number): readonly SoakBox[] {
  return Array.from(
    { length: ENTRY_BOXES },
    (_, index) => createBox(net, index, "entry"),
  );
}

/**
 * Creates a store box.
 *
 * @param net First of the four third numbers of the addresses.
 * @param index From 0; four in a row stand in four failure domains.
 */
export function createStore(net: number, index: number): SoakBox {
  return createBox(net, index, "store");
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
    seeds: entries.slice(0, SEEDS).map((entry) =>
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
