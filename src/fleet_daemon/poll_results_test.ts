import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as results from "../results/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as pollResults from "./_poll_results.ts";

const RESULT: submissions.ItemResult = {
  id: "a",
  state: "completed",
  text: "t",
  versions: [1],
  score: undefined,
};

function createPage(
  found: readonly submissions.ItemResult[],
  isEnded = false,
): results.Result<submissions.ResultPage> {
  const next = found.length;
  return results.createOk({ total: 1, next, results: found, isEnded });
}

describe("read in slices", () => {
  let clock = new clocks.FakeClock();
  let waits: number[] = [];

  beforeEach(() => {
    clock = new clocks.FakeClock();
    waits = [];
  });

  /** Reads 1,000 ms long; each answer takes the whole wait it was asked for. */
  function poll(
    answers: readonly results.Result<submissions.ResultPage>[],
  ): Promise<results.Result<submissions.ResultPage>> {
    return pollResults.pollResults({
      clock,
      waitMs: 1_000,
      readOnce: (waitMs, timeoutMs) => {
        chai.expect(timeoutMs).to.be.lessThan(1_000);
        waits.push(waitMs);
        clock.advance(waitMs);
        return Promise.resolve(answers[waits.length - 1] ?? createPage([]));
      },
    });
  }

  it("waits no longer than its caller allows", async () => {
    const page = await poll([]);
    chai.expect(page).to.deep.equal(createPage([]));
    chai.expect(waits).to.deep.equal([400, 400, 200]);
  });

  it("gives the first results at once", async () => {
    const page = await poll([createPage([]), createPage([RESULT])]);
    chai.expect(page).to.deep.equal(createPage([RESULT]));
    chai.expect(waits).to.deep.equal([400, 400]);
  });

  it("asks no more once the submission has ended, or a read failed", async () => {
    await poll([createPage([], true)]);
    chai.expect(waits.length).to.equal(1);
    const failure = results.createFailure("noLeader", "no leader");
    chai.expect(await poll([failure, failure])).to.deep.equal(failure);
  });
});
