import * as chai from "chai";
import * as replicaLogs from "./replica_log.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/*
 * Election delays were a fixed sequence: each was 1 ms shorter than the one before,
 * and some pairs of seeds gave equal sequences. Two candidates then split the vote
 * at every attempt.
 */

const TIMEOUT_MS = 450;
const DRAWS = 60;

/** Draws the election delays of a replica, in ms, one for each heartbeat. */
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
  it("do not change by a constant step", () => {
    const delays = drawDelays(1);
    const steps = delays.slice(1).map((delay, at) => delay - (delays[at] ?? 0));
    chai.expect(countDistinct(steps), steps.slice(0, 8).join(" ")).to.be
      .greaterThan(DRAWS / 2);
  });

  it("of two replicas do not differ by a constant", () => {
    for (let other = 2; other < 1_000; other += 1) {
      const delays = drawDelays(other);
      const gaps = drawDelays(1).map((delay, at) => delay - (delays[at] ?? 0));
      chai.expect(
        countDistinct(gaps),
        `seeds 1 and ${other}: first difference ${gaps[0]} ms`,
      )
        .to.be.greaterThan(DRAWS / 2);
    }
  });
});
