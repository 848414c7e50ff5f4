import * as chai from "chai";
import * as randomSources from "../fixtures/random_source.ts";
import type * as messages from "./message.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * Messages and ticks that are always late must not keep a group without a leader,
 * nor a leader without contact in its role.
 */

const ELECTION_TIMEOUT_MS = 450;
const HEARTBEAT_MS = 90;
const DURATION_MS = 60_000;
/** Longest time without a commit, in ms. */
const MAX_QUIET_MS = 15_000;
const SEEDS = Number(process.env["HOISTSCALE_SCHEDULES"] ?? 8);

interface Lateness {
  readonly replicas: number;
  /** One-way delay of messages, in ms. */
  readonly delayMs: readonly [number, number];
  /** Time between two ticks of a replica, in ms. */
  readonly tickMs: readonly [number, number];
}

interface Due {
  readonly atMs: number;
  readonly from: string;
  readonly to: string;
  readonly message: messages.Message;
}

/** Returns the longest time without a commit, in ms. */
function measureQuietMs(lateness: Lateness, seed: number): number {
  const random = new randomSources.RandomSource(Math.imul(seed, 0x9e37_79b1));
  const ids = [..."abcdefg"].slice(0, lateness.replicas);
  const entry: replicaLogs.Entry = {
    index: 1,
    term: 0,
    command: { kind: "replicaSet", voters: ids },
  };
  const log = replicaLogs.appendEntries(replicaLogs.EMPTY_LOG, [entry]);
  const states = new Map<string, replicaStates.ReplicaState>();
  ids.forEach((id, index) => {
    const config: replicaStates.ReplicaConfig = {
      id,
      voters: [],
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      heartbeatMs: HEARTBEAT_MS,
      maxBatchEntries: 24,
      seed: seed * 31 + index,
    };
    const saved = { ...stepReplica.EMPTY_REPLICA, log };
    states.set(id, stepReplica.createReplica(config, saved, 0));
  });
  const linkFreeAt = new Map<string, number>();
  const tickAt = new Map<string, number>(ids.map((id) => [id, 1]));
  let due: Due[] = [];
  let commitIndex = 0;
  let committedAtMs = 0;
  let quietMs = 0;
  let nowMs = 0;
  function step(id: string, event: replicaStates.ReplicaEvent): void {
    const state = states.get(id);
    if (state === undefined) return;
    const next = stepReplica.stepReplica(state, event, nowMs);
    states.set(id, next.state);
    for (const effect of next.effects) {
      if (effect.kind !== "send") continue;
      const link = `${id}>${effect.to}`;
      const [min, max] = lateness.delayMs;
      const atMs = Math.max(
        nowMs + random.drawInteger(min, max),
        linkFreeAt.get(link) ?? 0,
      );
      linkFreeAt.set(link, atMs);
      due.push({ atMs, from: id, to: effect.to, message: effect.message });
    }
    const { role } = next.state;
    if (role.kind !== "leader" || next.state.commitIndex <= commitIndex) return;
    commitIndex = next.state.commitIndex;
    quietMs = Math.max(quietMs, nowMs - committedAtMs);
    committedAtMs = nowMs;
  }
  for (nowMs = 1; nowMs < DURATION_MS; nowMs += 1) {
    const now = due.filter(({ atMs }) => atMs <= nowMs);
    due = due.filter(({ atMs }) => atMs > nowMs);
    for (const { from, to, message } of now) {
      step(to, { kind: "message", from, message });
    }
    for (const id of ids) {
      if ((tickAt.get(id) ?? 0) > nowMs) continue;
      const [min, max] = lateness.tickMs;
      tickAt.set(id, nowMs + random.drawInteger(min, max));
      step(id, { kind: "tick" });
      if (states.get(id)?.role.kind === "leader" && nowMs % 5 === 0) {
        step(id, { kind: "propose", commands: ["x"] });
      }
    }
  }
  return Math.max(quietMs, nowMs - committedAtMs);
}

const CASES: readonly Lateness[] = [
  { replicas: 3, delayMs: [1, 5], tickMs: [10, 20] },
  { replicas: 3, delayMs: [100, 300], tickMs: [10, 20] },
  { replicas: 3, delayMs: [200, 500], tickMs: [50, 300] },
  { replicas: 3, delayMs: [400, 500], tickMs: [10, 20] },
  { replicas: 3, delayMs: [50, 500], tickMs: [200, 700] },
  { replicas: 5, delayMs: [200, 500], tickMs: [50, 300] },
  { replicas: 5, delayMs: [50, 600], tickMs: [200, 700] },
  { replicas: 7, delayMs: [100, 500], tickMs: [100, 500] },
];

describe("a group whose messages and ticks are always late", () => {
  for (const lateness of CASES) {
    it(`commits: ${JSON.stringify(lateness)}`, () => {
      const quiet = Array.from(
        { length: SEEDS },
        (_, at) => measureQuietMs(lateness, at + 1),
      );
      chai.expect(Math.max(...quiet), quiet.join()).to.be.at.most(MAX_QUIET_MS);
    });
  }
});
