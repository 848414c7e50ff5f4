import * as chai from "chai";
import * as itemFixtures from "../submission/item_fixture_test.ts";
import type * as submissions from "../submission/mod.ts";
import * as phaseTimes from "./phase_times.ts";
import * as stepProgress from "./step_progress.ts";

function createStep(
  groups: Readonly<Record<string, string | undefined>>,
  desired: number | undefined,
  listed: readonly string[] = [],
): stepProgress.StepProgress {
  const items = Object.entries(groups).map(([id, group]) =>
    itemFixtures.createItem(id, { group })
  );
  const submission = { items, desired } as unknown as submissions.Submission;
  return new stepProgress.StepProgress(submission, new Set(listed));
}

describe("step progress", () => {
  it("reports once that the last group the step waits for is complete", () => {
    const step = createStep({ a: "x", b: "x", c: "y", d: "z" }, 2);
    const completions = ["a", "c", "b", "d", "d"].map((item) =>
      step.finishItem(item)
    );
    chai.expect(completions).to.deep.equal([false, false, true, false, false]);
    chai.expect(step.countCompleteGroups()).to.equal(3);
    chai.expect(step.countMissingGroups()).to.equal(0);
  });

  // Guards against a step that is reported as whole while its trainer waits for a
  // group that came back.
  it("waits for carried groups, however many others are complete", () => {
    const items = ["a", "b", "c"].map((id) => itemFixtures.createItem(id));
    const submission = {
      items,
      desired: 2,
    } as unknown as submissions.Submission;
    const step = new stepProgress.StepProgress(
      submission,
      new Set(),
      (item) => item === "c",
    );
    chai.expect(step.finishItem("a")).to.equal(false);
    chai.expect(step.finishItem("b")).to.equal(false);
    chai.expect(step.finishItem("c")).to.equal(true);
  });

  it("starts from the items already recorded", () => {
    const step = createStep({ a: "x", b: "x", c: "y" }, undefined, ["a", "c"]);
    chai.expect(step.countCompleteGroups()).to.equal(1);
    chai.expect(step.countOpenItems("b")).to.equal(1);
    chai.expect(step.finishItem("b")).to.equal(true);
  });

  it("treats an item without a group as a group of its own", () => {
    const step = createStep({ a: undefined, b: undefined }, undefined);
    chai.expect(step.finishItem("a")).to.equal(false);
    chai.expect(step.finishItem("b")).to.equal(true);
  });

  it("waits for no more groups than there are", () => {
    const step = createStep({ a: "x" }, 9);
    chai.expect(step.countMissingGroups()).to.equal(1);
    chai.expect(step.finishItem("unknown")).to.equal(false);
    chai.expect(step.finishItem("a")).to.equal(true);
  });
});

describe("phase times", () => {
  it("adds up the durations of a phase entered several times", () => {
    const times = new phaseTimes.PhaseTimes(100);
    times.enter("running", 130);
    times.enter("waiting", 200);
    times.enter("running", 210);
    times.enter("scoring", 260);
    times.enter("done", 300);
    chai.expect(times.getPhase()).to.equal("done");
    chai.expect(times.getDurations()).to.deep.equal({
      waitingMs: 40,
      runningMs: 120,
      scoringMs: 40,
    });
  });
});
