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

describe("pollResults", () => {
  let clock = new clocks.FakeClock();
  let waits: number[] = [];
  let deadlineMs = Number.POSITIVE_INFINITY;

  beforeEach(() => {
    clock = new clocks.FakeClock();
    waits = [];
    deadlineMs = Number.POSITIVE_INFINITY;
  });

  /** Polls for 1,000 ms; each reply takes the whole wait of its call. */
  function poll(
    answers: readonly results.Result<submissions.ResultPage>[],
  ): Promise<results.Result<submissions.ResultPage>> {
    return pollResults.pollResults({
      clock,
      waitMs: 1_000,
      getDeadlineMs: () => deadlineMs,
      readOnce: (waitMs, timeoutMs) => {
        chai.expect(timeoutMs).to.be.lessThan(1_000);
        waits.push(waitMs);
        clock.advance(waitMs);
        return Promise.resolve(answers[waits.length - 1] ?? createPage([]));
      },
    });
  }

  it("waits no longer than the requested time", async () => {
    const page = await poll([]);
    chai.expect(page).to.deep.equal(createPage([]));
    chai.expect(waits).to.deep.equal([400, 400, 200]);
  });

  // Guards against reads that are cut off as their box ends.
  it("ends in time to be answered before the box stops", async () => {
    deadlineMs = 650;
    const page = await poll([]);
    chai.expect(page).to.deep.equal(createPage([]));
    chai.expect(waits).to.deep.equal([400, 150]);
  });

  it("notices a stop that begins while it waits", async () => {
    const page = pollResults.pollResults({
      clock,
      waitMs: 1_000,
      getDeadlineMs: () => deadlineMs,
      readOnce: (waitMs) => {
        waits.push(waitMs);
        clock.advance(waitMs);
        deadlineMs = 550;
        return Promise.resolve(createPage([]));
      },
    });
    chai.expect(await page).to.deep.equal(createPage([]));
    chai.expect(waits).to.deep.equal([400, 50]);
  });

  it("returns the first results without further calls", async () => {
    const page = await poll([createPage([]), createPage([RESULT])]);
    chai.expect(page).to.deep.equal(createPage([RESULT]));
    chai.expect(waits).to.deep.equal([400, 400]);
  });

  it("stops once the submission has ended or a call fails", async () => {
    await poll([createPage([], true)]);
    chai.expect(waits.length).to.equal(1);
    const failure = results.createFailure("noLeader", "no leader");
    chai.expect(await poll([failure, failure])).to.deep.equal(failure);
  });
});
