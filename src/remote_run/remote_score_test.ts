import * as chai from "chai";
import type * as forwarding from "../forwarding/mod.ts";
import type * as itemRuns from "../item_run/mod.ts";
import * as runFixtures from "../item_run/run_fixture_test.ts";
import * as fixtures from "./remote_run_fixture_test.ts";

const ITEM = {
  ...runFixtures.ITEM,
  scoring: { id: "score-1", host: "a.example", path: "/score", body: "" },
};

describe("scoring of an item at another box", () => {
  let fixture = new fixtures.RemoteRunFixture();

  beforeEach(async () => {
    fixture = new fixtures.RemoteRunFixture();
    await fixture.engine.start();
    const submission = { ...fixtures.SUBMISSION, id: "s-3", items: [ITEM] };
    fixture.machine.apply({ kind: "acceptSubmission", submission });
    fixture.answerWith(fixtures.formatEvents(1, 1));
  });

  afterEach(() => fixture.engine.stop());

  /** Runs the item; its end is told before its score. */
  async function runItem(): Promise<itemRuns.RunOutcome> {
    const run = fixture.startRun(fixture.createRunner(), {
      submission: "s-3",
      item: ITEM,
    });
    const outcome = await fixture.awaitValue(run.ended);
    chai.expect(outcome.kind).to.equal("finished");
    return outcome;
  }

  function awaitScore(
    outcome: itemRuns.RunOutcome,
  ): Promise<itemRuns.ScoreOutcome | undefined> {
    const scored = outcome.kind === "finished" ? outcome.scored : undefined;
    return fixture.awaitValue(Promise.resolve(scored));
  }

  it("gets the score after the text", async () => {
    let answer: (outcome: forwarding.ForwardOutcome) => void = () => {};
    fixture.scoring = new Promise((resolve) => {
      answer = resolve;
    });
    const outcome = await runItem();
    answer({
      kind: "answered",
      answer: { status: 200, head: { receipt: "stamp" } },
    } as unknown as forwarding.ForwardOutcome);
    chai.expect(await awaitScore(outcome)).to.deep.equal({
      kind: "scored",
      score: "stamp",
    });
  });

  it("is left to the leader if the other box falls silent", async () => {
    const outcome = await runItem();
    fixture.leader.isSilent = true;
    chai.expect((await awaitScore(outcome))?.kind).to.equal("unanswered");
  });
});
