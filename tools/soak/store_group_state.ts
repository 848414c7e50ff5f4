import type * as storeLogReaders from "./store_log_reader.ts";

/** What the store logs show of one replica. */
export interface LoggedReplica {
  /** Name of the box. */
  readonly box: string;
  /** Address of the box, which is the id of the replica. */
  readonly address: string;
  readonly incarnation: string;
  readonly isAdmitted: boolean;
  /** Wall-clock time of the admission, or of the first start, in ms. */
  readonly admittedAtMs: number;
  /** Wall-clock time since which it acts as leader, in ms. */
  readonly authoritySinceMs: number | undefined;
}

/** What the store logs show of the replica group at one time. */
export interface StoreGroupState {
  /** Replicas by the name of their box. */
  readonly replicas: ReadonlyMap<string, LoggedReplica>;
  /** Addresses of the voters in the newest committed set; empty if none is. */
  readonly voters: readonly string[];
  /** Log index of that set. */
  readonly setIndex: number;
}

/** Which voter that counts a fault hits. */
export type CountedRole =
  /** The leader, or the voter admitted first if none has authority. */
  | "any"
  /** The voter admitted first among those without authority. */
  | "follower";

export const EMPTY_STATE: StoreGroupState = {
  replicas: new Map(),
  voters: [],
  setIndex: 0,
};

function listAddresses(line: storeLogReaders.LogLine): readonly string[] {
  return (line.fields.get("voters") ?? "").replaceAll('"', "").split(",")
    .filter((address) => address !== "");
}

function applySet(
  state: StoreGroupState,
  line: storeLogReaders.LogLine,
): StoreGroupState {
  const voters = listAddresses(line);
  const setIndex = Number(line.fields.get("setIndex"));
  const isCommitted = line.fields.get("isSetCommitted") === "true";
  if (!isCommitted || voters.length === 0) return state;
  if (setIndex < state.setIndex) return state;
  return { ...state, voters, setIndex };
}

function putReplica(
  state: StoreGroupState,
  replica: LoggedReplica,
): StoreGroupState {
  const replicas = new Map(state.replicas).set(replica.box, replica);
  return { ...state, replicas };
}

function applyOpening(
  state: StoreGroupState,
  line: storeLogReaders.LogLine,
): StoreGroupState {
  const box = line.fields.get("box") ?? "";
  const isAdmitted = line.fields.get("isAdmitted") === "true";
  const known = state.replicas.get(box);
  const wasAdmitted = known !== undefined && known.isAdmitted;
  return applySet(
    putReplica(state, {
      box,
      address: line.fields.get("id") ?? "",
      incarnation: line.fields.get("incarnation") ?? "",
      isAdmitted,
      admittedAtMs: wasAdmitted ? known.admittedAtMs : line.atMs,
      authoritySinceMs: undefined,
    }),
    line,
  );
}

/** Applies a line of a store's log; lines are applied in order of their times. */
export function applyLine(
  state: StoreGroupState,
  line: storeLogReaders.LogLine,
): StoreGroupState {
  const replica = state.replicas.get(line.fields.get("box") ?? "");
  if (line.event === "replica.opened") return applyOpening(state, line);
  if (line.event === "replica.voters") return applySet(state, line);
  if (replica === undefined) return state;
  if (line.event === "replica.admitted") {
    return putReplica(state, {
      ...replica,
      isAdmitted: true,
      admittedAtMs: line.atMs,
    });
  }
  if (line.event !== "replica.authority") return state;
  const hasAuthority = line.fields.get("hasAuthority") === "true";
  const authoritySinceMs = hasAuthority ? line.atMs : undefined;
  return putReplica(state, { ...replica, authoritySinceMs });
}

/** Reads the state after the last of the lines, which may be in any order. */
export function readState(
  lines: readonly storeLogReaders.LogLine[],
): StoreGroupState {
  return lines.toSorted((a, b) => a.atMs - b.atMs)
    .reduce(applyLine, EMPTY_STATE);
}

/** Lists the admitted voters of the newest committed set. */
export function listCounted(state: StoreGroupState): readonly LoggedReplica[] {
  return [...state.replicas.values()].filter((replica) =>
    replica.isAdmitted && state.voters.includes(replica.address)
  );
}

/**
 * Whether the group can bear the losses that are to be borne: all voters of
 * the newest committed set are admitted, and those that remain after the losses
 * are a majority of that set.
 */
export function canBearLosses(
  state: StoreGroupState,
  lossesToBear: number,
): boolean {
  const size = state.voters.length;
  const admitted = listCounted(state).length;
  return size > 0 && admitted === size && admitted - lossesToBear > size / 2;
}

/** Finds the replica that acts as leader; of several, the newest. */
export function findLeader(state: StoreGroupState): LoggedReplica | undefined {
  return [...state.replicas.values()]
    .filter((replica) => replica.authoritySinceMs !== undefined)
    .toSorted((a, b) => (a.authoritySinceMs ?? 0) - (b.authoritySinceMs ?? 0))
    .at(-1);
}

/**
 * Finds the voter that counts whose loss is worst: the leader, since its loss
 * also costs an election, then the one admitted first, since what it holds was
 * not sent to it after a fault.
 */
export function findCounted(
  state: StoreGroupState,
  role: CountedRole,
): LoggedReplica | undefined {
  const leader = findLeader(state);
  const counted = listCounted(state)
    .toSorted((a, b) => a.admittedAtMs - b.admittedAtMs);
  const oldestFollower = counted.find(({ box }) => box !== leader?.box);
  if (role === "follower") return oldestFollower;
  return counted.find(({ box }) => box === leader?.box) ?? oldestFollower;
}
