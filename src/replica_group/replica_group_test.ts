import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as replicaGroups from "./replica_group.ts";

describe("replica group", () => {
  it("answers callers that its replica has not started", () => {
    const options = {
      name: "stores",
      clock: new clocks.FakeClock(),
      server: { add: () => {} },
    } as unknown as replicaGroups.ReplicaGroupOptions;
    const group = new replicaGroups.ReplicaGroup(options);
    chai.expect(group.createNotLeader()).to.deep.equal({
      kind: "notLeader",
      leader: undefined,
      reason: { kind: "notStarted" },
    });
  });
});
