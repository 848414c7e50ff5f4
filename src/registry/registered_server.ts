/** A model that an engine holds. */
export interface HeldModel {
  readonly name: string;
  readonly version: number;
}

/** What a backend server says of itself. */
export type ServerPhase = "ready" | "draining" | "gone";

/** One start of a backend server, as its heartbeats tell. */
export interface RegisteredServer {
  /** Names this start; another start has another id. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly phase: ServerPhase;
  /** Whether it is cheaper and may be taken away at short notice. */
  readonly isSpot: boolean;
  /** Time until it is taken away when it told so, in ms; undefined if unknown. */
  readonly leavesMs: number | undefined;
  /** How much longer it stays slow from its start, in ms. */
  readonly coldMs: number;
  /** Rises with each heartbeat. */
  readonly sequence: number;
  /** Empty for servers that are no engines. */
  readonly models: readonly HeldModel[];
}

const PHASE_RANKS: Readonly<Record<ServerPhase, number>> = {
  ready: 0,
  draining: 1,
  gone: 2,
};

/** Sequence of a report made without a heartbeat; any heartbeat is newer. */
const NO_SEQUENCE = -1;

/**
 * Makes the report of a server that left and was never heard before.
 *
 * @param id The server's id.
 * @returns A report that only says it has gone.
 */
export function createGone(id: string): RegisteredServer {
  return {
    id,
    service: "",
    address: "",
    port: 0,
    failureDomain: "",
    slots: 0,
    phase: "gone",
    isSpot: false,
    leavesMs: undefined,
    coldMs: 0,
    sequence: NO_SEQUENCE,
    models: [],
  };
}

/**
 * Joins two reports of one start of a server, whichever came first: the newer
 * one holds, but a server never comes back from draining or from having gone.
 *
 * @param left One report.
 * @param right Another one.
 * @returns What both together say.
 */
export function mergeServers(
  left: RegisteredServer,
  right: RegisteredServer,
): RegisteredServer {
  const newer = right.sequence > left.sequence ? right : left;
  const phase = PHASE_RANKS[left.phase] >= PHASE_RANKS[right.phase]
    ? left.phase
    : right.phase;
  // A kind that was told once holds, also for reports that leave it out.
  return { ...newer, phase, isSpot: left.isSpot || right.isSpot };
}

/**
 * Describes what a report says but for its sequence. Reports with the same
 * description need not be told to others at once.
 *
 * @param server The report.
 * @returns A short text.
 */
export function describeContent(server: RegisteredServer): string {
  const { phase, service, address, port, models } = server;
  const held = models.map((model) => `${model.name}:${model.version}`);
  return [phase, service, address, port, ...held].join(" ");
}
