import type * as fleetSettings from "../fleet_settings/mod.ts";
import type * as crowdRecorders from "./_crowd_recorder.ts";

const BYTES_PER_MB = 1_000_000;
/** Part of a box's memory that its process should stay within. */
const USABLE_FRACTION = 0.9;
/** Memory of a process that holds no requests, and of garbage, in MB. */
const RESERVED_MB = 60;
/** Largest part of a box's memory that requests and unfinished answers may hold. */
const MAX_HELD_FRACTION = 0.4;
/** Callers' connections for each MB of a box: one may hold a head of 16 KiB. */
const CONNECTIONS_PER_MB = 10;
/** Descriptors for files and for the process itself. */
const FILE_DESCRIPTORS = 264;
/** Parts of the other descriptors; what is left is for own connections. */
const CALLER_SHARE = 0.4;
const CONTROL_SHARE = 0.15;
const DIRECTORY_SHARE = 0.1;
const READINESS_SHARE = 0.03;
const PEER_SHARE = 0.12;

/** What the listeners and requests of one process may take up. */
export interface BoxLimits {
  /** Memory of the box, in bytes. */
  readonly memoryBytes: number;
  /** Most bytes of requests and unfinished answers that are held. */
  readonly heldBytes: number;
  /** Most connections of each listener. */
  readonly connections: Readonly<Record<crowdRecorders.ListenerName, number>>;
  /** Most connections that other boxes open to this one. */
  readonly peerConnections: number;
}

/**
 * Splits the memory and the descriptors of a box among the parts of its process, so
 * that no crowd at one of them takes what the others need. See `docs/design/crowds.md`.
 *
 * @param settings Memory and descriptors of the box.
 * @returns The limits.
 */
export function computeBoxLimits(
  settings: Pick<
    fleetSettings.FleetSettings,
    "memoryMb" | "fileDescriptors"
  >,
): BoxLimits {
  const { memoryMb, fileDescriptors } = settings;
  const heldMb = Math.min(
    USABLE_FRACTION * memoryMb - RESERVED_MB,
    MAX_HELD_FRACTION * memoryMb,
  );
  const sockets = Math.max(0, fileDescriptors - FILE_DESCRIPTORS);
  return {
    memoryBytes: memoryMb * BYTES_PER_MB,
    heldBytes: Math.max(0, heldMb) * BYTES_PER_MB,
    peerConnections: Math.ceil(sockets * PEER_SHARE),
    connections: {
      caller: Math.ceil(
        Math.min(sockets * CALLER_SHARE, memoryMb * CONNECTIONS_PER_MB),
      ),
      control: Math.ceil(sockets * CONTROL_SHARE),
      directory: Math.ceil(sockets * DIRECTORY_SHARE),
      ready: Math.ceil(sockets * READINESS_SHARE),
    },
  };
}
