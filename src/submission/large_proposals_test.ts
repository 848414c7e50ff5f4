import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as largeProposals from "./_large_proposals.ts";
import type * as protocol from "./protocol.ts";
import * as fixtures from "./submission_fixture_test.ts";
import type * as stateMachines from "./submission_state_machine.ts";

const AWAIT_MS = 900;

// Guards against a large submission that fills a store because each of its sends is
// proposed while the first is still being stored.
describe("large proposals", () => {
  const clock = new clocks.FakeClock();
  const submission = fixtures.createSubmission("s", []);
  const changed = new csp.Signal();
  let proposed = 0;
  let hasRoom = true;
  let record: stateMachines.SubmissionRecord | undefined;
  let proposals: largeProposals.LargeProposals;

  beforeEach(() => {
    proposed = 0;
    hasRoom = true;
    record = undefined;
    proposals = new largeProposals.LargeProposals({
      clock,
      memoryGuard: { hasRoomFor: () => hasRoom },
      group: {
        hasAuthority: () => true,
        createNotLeader: () => {
          throw new Error("the replica leads");
        },
      },
      stateMachine: { get: () => record },
      stateChanged: changed,
      awaitMs: AWAIT_MS,
      propose: () => {
        proposed += 1;
        return Promise.resolve({ kind: "unsure", mayHaveRun: true });
      },
    });
  });

  it("proposes a submission once, and answers the next send when it is stored", async () => {
    await proposals.accept(submission);
    const repeated = proposals.accept(submission);
    record = { submission } as stateMachines.SubmissionRecord;
    changed.notify();
    chai.expect(await repeated).to.deep.equal({ kind: "done", value: null });
    chai.expect(proposed).to.equal(1);
  });

  it("says that it may be stored, when that is not known in time", async () => {
    await proposals.accept(submission);
    const repeated = proposals.accept(submission);
    clock.advance(AWAIT_MS);
    const reply: protocol.LeaderReply<unknown> = await repeated;
    chai.expect(reply).to.deep.equal({ kind: "unsure", mayHaveRun: true });
    chai.expect(proposed).to.equal(1);
  });

  it("proposes it again after some time", async () => {
    await proposals.accept(submission);
    clock.advance(10_000);
    await proposals.accept(submission);
    chai.expect(proposed).to.equal(2);
  });

  it("proposes nothing where there is no room, and says that nothing ran", async () => {
    hasRoom = false;
    chai.expect(await proposals.accept(submission)).to.deep.equal({
      kind: "unsure",
      mayHaveRun: false,
    });
    chai.expect(proposed).to.equal(0);
  });
});
