import * as chai from "chai";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * Two voters that were left without a leader asked to lead at the same
 * millisecond, each voted for itself, and both waited for the same time before
 * they asked again: 356 candidacies in 120 s and no leader (simulated clock,
 * equal starts). The delays are drawn from a generator that is made anew from
 * the seed and a count, and whose first number is the seed's complement: each
 * delay is the one before less 1 ms, and replicas whose seeds leave the same
 * rest (one pair of 451) draw the same ones for ever.
 */

const TIMEOUT_MS = 450;
const DRAWS = 60;

/** Draws election delays of a replica, one for each heartbeat. */
function drawDelays(seed: number): readonly number[] {
  const config: replicaStates.ReplicaConfig = {
    id: "a",
    voters: ["a", "b", "c"],
    electionTimeoutMs: TIMEOUT_MS,
    heartbeatMs: 90,
    maxBatchEntries: 8,
    seed,
  };
  let state = stepReplica.createReplica(config, {
    term: 1,
    votedFor: undefined,
    identity: { incarnation: 0, isAdmitted: true },
    log: replicaLogs.EMPTY_LOG,
  }, 0);
  return Array.from({ length: DRAWS }, () => {
    state = stepReplica.stepReplica(state, {
      kind: "message",
      from: "b",
      message: {
        kind: "appendRequest",
        term: 1,
        previousIndex: 0,
        previousTerm: 0,
        entries: [],
        commitIndex: 0,
        isEstablished: false,
        sentAtMs: 0,
      },
    }, 0).state;
    return state.electionAtMs;
  });
}

function countDistinct(values: readonly number[]): number {
  return new Set(values).size;
}

describe("election delays", () => {
  it("do not follow from the one before", () => {
    const delays = drawDelays(1);
    const steps = delays.slice(1).map((delay, at) => delay - (delays[at] ?? 0));
    chai.expect(countDistinct(steps), steps.slice(0, 8).join(" ")).to.be
      .greaterThan(DRAWS / 2);
  });

  it("of two replicas keep no distance", () => {
    for (let other = 2; other < 1_000; other += 1) {
      const delays = drawDelays(other);
      const gaps = drawDelays(1).map((delay, at) => delay - (delays[at] ?? 0));
      chai.expect(countDistinct(gaps), `seeds 1 and ${other}: gap ${gaps[0]}`)
        .to.be.greaterThan(DRAWS / 2);
    }
  });
});
