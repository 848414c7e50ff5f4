import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as results from "../results/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as readInSlices from "./_read_in_slices.ts";

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
  let asked: number[] = [];

  beforeEach(() => {
    clock = new clocks.FakeClock();
    asked = [];
  });

  /** Reads 1,000 ms long; each answer takes the whole wait it was asked for. */
  function read(
    answers: readonly results.Result<submissions.ResultPage>[],
  ): Promise<results.Result<submissions.ResultPage>> {
    return readInSlices.readInSlices({
      clock,
      waitMs: 1_000,
      readOnce: (waitMs, tryMs) => {
        chai.expect(tryMs).to.be.lessThan(1_000);
        asked.push(waitMs);
        clock.advance(waitMs);
        return Promise.resolve(answers[asked.length - 1] ?? createPage([]));
      },
    });
  }

  it("waits no longer than its caller allows", async () => {
    const page = await read([]);
    chai.expect(page).to.deep.equal(createPage([]));
    chai.expect(asked).to.deep.equal([400, 400, 200]);
  });

  it("gives the first results at once", async () => {
    const page = await read([createPage([]), createPage([RESULT])]);
    chai.expect(page).to.deep.equal(createPage([RESULT]));
    chai.expect(asked).to.deep.equal([400, 400]);
  });

  it("asks no more once the submission has ended, or a read failed", async () => {
    await read([createPage([], true)]);
    chai.expect(asked.length).to.equal(1);
    const failure = results.createFailure("noLeader", "no leader");
    chai.expect(await read([failure, failure])).to.deep.equal(failure);
  });
});
