import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as control from "../control/mod.ts";
import * as replicated from "../replicated_state/mod.ts";
import * as results from "../results/mod.ts";
import type * as steps from "../rollout_step/mod.ts";
import * as stepFeeds from "./step_feed.ts";

const ORIGIN = { operator: "root", requestId: "r", atMs: 0 };
const STEP_ID = "cascade/notes/1";

/** A state with an open step, reached through proposals as by a box. */
class FakeControl {
  state = replicated.EMPTY_STATE;
  readonly clock = new clocks.FakeClock(1_000);

  constructor() {
    this.apply({
      kind: "setAccount",
      origin: ORIGIN,
      baseRevision: 0,
      id: "cascade",
      tokenSha256s: [],
      change: {},
    });
    this.apply({
      kind: "setTemplate",
      origin: { ...ORIGIN, requestId: "t" },
      baseRevision: 0,
      account: "cascade",
      name: "notes",
      change: { trainer: "cellar", model: "lm", groupSize: 2 },
    });
  }

  apply(command: replicated.Command): replicated.CommandAnswer {
    const applied = replicated.applyCommand(this.state, command);
    this.state = applied.state;
    return applied.answer;
  }

  openStep(box: string): replicated.StepView {
    const request = {
      account: "cascade",
      template: "notes",
      trainer: "cellar",
      step: 1,
      groupSize: 2,
      prompts: ["p"],
    };
    const answer = this.apply({
      kind: "openStep",
      request,
      box,
      liveBoxes: [],
    });
    if (answer.kind !== "step") throw new Error("Cannot open the step");
    return answer.step;
  }

  /** A feed without engines: it shows only what is bound already. */
  createFeed(view: replicated.StepView): stepFeeds.StepFeed {
    const client = {
      getView: () => ({ templates: new Map() }),
      propose: (command: replicated.Command) =>
        Promise.resolve(results.createOk(this.apply(command))),
    } as unknown as control.ControlClient;
    return new stepFeeds.StepFeed(
      { clock: this.clock, client } as unknown as stepFeeds.FeedContext,
      view,
    );
  }

  bind(ownerEpoch: number, samples: readonly steps.Sample[]): void {
    this.apply({
      kind: "bindSamples",
      stepId: STEP_ID,
      ownerEpoch,
      trainerVersion: 1,
      samples,
    });
  }
}

function createSample(slot: number): steps.Sample {
  return {
    slot,
    sampleId: `s${slot}`,
    tokens: [1],
    spans: [{ weightVersion: 1, start: 0, end: 1 }],
    score: 1,
    ageMs: 0,
  };
}

async function fetchIds(feed: stepFeeds.StepFeed): Promise<readonly string[]> {
  const fetched = await feed.fetch(1, 0);
  return fetched.kind === "ok"
    ? fetched.value.map((sample) => sample.sampleId)
    : [];
}

describe("step feed", () => {
  it("shows the same samples again until they are acknowledged, at the next owner too", async () => {
    const fakeControl = new FakeControl();
    fakeControl.openStep("box-1");
    fakeControl.bind(1, [createSample(0), createSample(1)]);
    const secondFeed = fakeControl.createFeed(fakeControl.openStep("box-2"));
    chai.expect(await fetchIds(secondFeed)).to.deep.equal(["s0", "s1"]);
    chai.expect(await fetchIds(secondFeed)).to.deep.equal(["s0", "s1"]);
    await secondFeed.acknowledge([0]);
    await secondFeed.acknowledge([0]);
    chai.expect(await fetchIds(secondFeed)).to.deep.equal(["s1"]);
    const thirdFeed = fakeControl.createFeed(fakeControl.openStep("box-3"));
    chai.expect(await fetchIds(thirdFeed)).to.deep.equal(["s1"]);
    await thirdFeed.acknowledge([1]);
    chai.expect(thirdFeed.isComplete()).to.equal(true);
  });

  it("is complete at once for a step whose every slot was acknowledged before", () => {
    const fakeControl = new FakeControl();
    fakeControl.openStep("box-1");
    fakeControl.bind(1, [createSample(0), createSample(1)]);
    fakeControl.apply({
      kind: "acknowledgeSamples",
      stepId: STEP_ID,
      slots: [0, 1],
    });
    chai.expect(
      fakeControl.createFeed(fakeControl.openStep("box-2")).isComplete(),
    ).to.equal(
      true,
    );
  });
});
