import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as consensus from "../consensus/mod.ts";
import * as csp from "../csp/mod.ts";
import * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as protocol from "./protocol.ts";
import * as stateMachines from "./submission_state_machine.ts";
import * as services from "./submission_service.ts";

/*
 * A box whose retirement is completed is removed with its disk. Guards against
 * completing it on an uncommitted voter set: the disks may still hold the four
 * voters with the box, and one more lost disk leaves no quorum.
 */

const RETIRED = "r";
const VOTER_SET_INDEX = 101;
const COMMIT_INDEX = 100;

function createFollower(id: string): consensus.FollowerStatus {
  return {
    id,
    matchIndex: COMMIT_INDEX,
    silentMs: 20,
    isAdmitted: true,
    isReplaceable: false,
    knownMs: 60_000,
  };
}

/** Creates a leader whose voter set no longer holds the retired box. */
function createGroup(isCommitted: boolean) {
  const voters = ["a", "b", "c"];
  const group = {
    hasAuthority: () => true,
    listVoters: () => voters,
    getVoterSet: () => ({ voters, index: VOTER_SET_INDEX, isCommitted }),
    getStatus: () => ({
      role: "leader",
      term: 3,
      leader: "a",
      commitIndex: COMMIT_INDEX,
      lastIndex: VOTER_SET_INDEX,
      followers: ["b", "c", RETIRED].map(createFollower),
    }),
  };
  return group as unknown as replicaGroups.ReplicaGroup;
}

function readRetire(isCommitted: boolean): unknown {
  const methods = new Map<string, rpc.RpcHandler>();
  const machine = new stateMachines.SubmissionStateMachine(() => {});
  machine.apply({ kind: "retireBox", box: RETIRED });
  new services.SubmissionService({
    clock: new clocks.FakeClock(),
    log: new logs.Log("box", "error", () => {}),
    server: { add: (name, method) => methods.set(name, method) },
    group: createGroup(isCommitted),
    barrier: {} as replicaGroups.ReadBarrier,
    getFailureDomain: () => undefined,
    id: "a",
    stateMachine: machine,
    stateChanged: new csp.Signal(),
    wantedVoters: 3,
    memoryGuard: { hasRoomFor: () => true },
    listStoreIds: () => ["a", "b", "c"],
  });
  return methods.get(protocol.METHODS.readRetire)?.({ box: RETIRED } as never);
}

describe("state of the retirement of a box", () => {
  it("is completed once the voter set without the box is committed", () => {
    chai.expect(readRetire(true)).to.deep.equal({
      kind: "done",
      value: "completed",
    });
  });

  it("is running while that voter set is not committed", () => {
    chai.expect(readRetire(false)).to.deep.equal({
      kind: "done",
      value: "running",
    });
  });
});
