import * as chai from "chai";
import type * as steps from "../rollout_step/mod.ts";
import * as applyCommand from "./apply_command.ts";
import type * as commands from "./command.ts";
import * as replicatedStates from "./replicated_state.ts";
import * as snapshots from "./snapshot.ts";

const ORIGIN = { operator: "root", requestId: "r1", atMs: 1_000 };

/** A replica's state, changed by one command at a time. */
class Run {
  state = replicatedStates.EMPTY_STATE;

  apply(command: commands.Command): commands.CommandAnswer {
    const applied = applyCommand.applyCommand(this.state, command);
    this.state = applied.state;
    return applied.answer;
  }
}

function createRun(): Run {
  const run = new Run();
  run.apply({
    kind: "setAccount",
    origin: ORIGIN,
    baseRevision: 0,
    id: "cascade",
    tokenSha256s: ["h"],
    change: { stalenessVersions: 1, stalenessMs: 5_000 },
  });
  run.apply(
    setTemplate("r2", 0, { trainer: "cellar", model: "lm", groupSize: 2 }),
  );
  return run;
}

function setTemplate(
  requestId: string,
  baseRevision: number,
  change: object,
): commands.SetTemplate {
  return {
    kind: "setTemplate",
    origin: { ...ORIGIN, requestId },
    baseRevision,
    account: "cascade",
    name: "notes",
    change: { ...change },
  };
}

function createSample(
  slot: number,
  sampleId: string,
  weightVersion: number,
  ageMs = 0,
): steps.Sample {
  return {
    slot,
    sampleId,
    tokens: [1],
    spans: [{ weightVersion, start: 0, end: 1 }],
    score: 1,
    ageMs,
  };
}

function openStep(
  run: Run,
  box: string,
  liveBoxes: readonly string[],
): commands.CommandAnswer {
  const request = {
    account: "cascade",
    template: "notes",
    trainer: "cellar",
    step: 1,
    groupSize: 2,
    prompts: ["p"],
  };
  return run.apply({ kind: "openStep", request, box, liveBoxes });
}

function bind(
  run: Run,
  samples: readonly steps.Sample[],
  trainerVersion: number,
  ownerEpoch = 1,
): readonly steps.BindAnswer[] {
  const answer = run.apply({
    kind: "bindSamples",
    stepId: "cascade/notes/1",
    ownerEpoch,
    trainerVersion,
    samples,
  });
  return answer.kind === "binding" ? answer.answers : [];
}

describe("replicated state", () => {
  it("accepts only one of two changes made against the same revision", () => {
    const run = createRun();
    const base = run.state.revision;
    chai.expect(run.apply(setTemplate("a", base, { priority: 1 }))).to.deep
      .equal({ kind: "accepted", revision: base + 1 });
    chai.expect(run.apply(setTemplate("b", base, { priority: 2 }))).to.deep
      .equal({ kind: "conflict", revision: base + 1, wonBy: "a" });
  });

  it("answers a resent change as before, even after later changes and a restart", () => {
    const run = createRun();
    const base = run.state.revision;
    const first = run.apply(setTemplate("a", base, { priority: 1 }));
    const lost = run.apply(setTemplate("b", base, { priority: 2 }));
    run.apply(setTemplate("c", base + 1, { priority: 3 }));
    run.state = snapshots.loadState(
      JSON.parse(JSON.stringify(snapshots.saveState(run.state))),
    );
    chai.expect(run.apply(setTemplate("a", base, { priority: 1 }))).to.deep
      .equal(first);
    chai.expect(run.apply(setTemplate("b", base, { priority: 2 }))).to.deep
      .equal(lost);
    chai.expect(run.apply(setTemplate("a", base, { priority: 9 }))).to.deep
      .equal({ kind: "requestReused" });
    chai.expect(run.state.templates.get("cascade/notes")?.parameters.priority)
      .to.equal(3);
  });

  it("records the values before and after each accepted change in the audit trail", () => {
    const run = createRun();
    run.apply(setTemplate("a", run.state.revision, { priority: 1 }));
    run.apply(setTemplate("bad", run.state.revision, { priority: 99 }));
    chai.expect(run.state.audit.map((record) => record.requestId).toArray()).to
      .deep.equal(["r1", "r2", "a"]);
    chai.expect(JSON.parse(run.state.audit.last()?.before ?? "{}")).to.include({
      priority: 3,
    });
    chai.expect(JSON.parse(run.state.audit.last()?.after ?? "{}")).to.include({
      priority: 1,
    });
  });

  it("lets only one attempt claim a call and gives its answer to the others", () => {
    const run = new Run();
    const claim = {
      kind: "claimCall",
      key: "k",
      digest: "d",
      atMs: 1,
    } as const;
    const answer = { status: 200, contentType: "text/plain", bodyBase64: "" };
    chai.expect(run.apply({ ...claim, claimId: "one" }).kind).to.equal(
      "claimed",
    );
    chai.expect(run.apply({ ...claim, claimId: "one" }).kind).to.equal(
      "claimed",
    );
    chai.expect(run.apply({ ...claim, claimId: "two" }).kind).to.equal(
      "heldByOther",
    );
    chai.expect(run.apply({ ...claim, claimId: "two", digest: "x" }).kind).to
      .equal("keyReused");
    run.apply({ kind: "releaseCall", key: "k", claimId: "two" });
    chai.expect(run.apply({ ...claim, claimId: "two" }).kind).to.equal(
      "heldByOther",
    );
    run.apply({
      kind: "finishCall",
      key: "k",
      claimId: "one",
      state: { kind: "answered", answer },
    });
    run.apply({ kind: "releaseCall", key: "k", claimId: "one" });
    chai.expect(run.apply({ ...claim, claimId: "two" })).to.deep.equal({
      kind: "answered",
      answer,
    });
  });

  it("allows a new claim after a release, but not after an unknown outcome", () => {
    const run = new Run();
    const claim = {
      kind: "claimCall",
      key: "k",
      digest: "d",
      atMs: 1,
    } as const;
    run.apply({ ...claim, claimId: "one" });
    run.apply({ kind: "releaseCall", key: "k", claimId: "one" });
    chai.expect(run.apply({ ...claim, claimId: "two" }).kind).to.equal(
      "claimed",
    );
    run.apply({
      kind: "finishCall",
      key: "k",
      claimId: "two",
      state: { kind: "unknown" },
    });
    chai.expect(run.apply({ ...claim, claimId: "three" }).kind).to.equal(
      "unknown",
    );
  });

  it("binds one sample to each slot and never replaces it", () => {
    const run = createRun();
    openStep(run, "box-1", []);
    chai.expect(bind(run, [createSample(0, "s1", 5)], 5)[0]?.refusal).to.equal(
      undefined,
    );
    chai.expect(bind(run, [createSample(0, "s1", 5)], 5)[0]?.refusal).to.equal(
      undefined,
    );
    chai.expect(bind(run, [createSample(0, "s2", 5)], 5)[0]?.refusal).to.equal(
      "alreadyBound",
    );
    run.apply({
      kind: "acknowledgeSamples",
      stepId: "cascade/notes/1",
      slots: [0],
    });
    chai.expect(bind(run, [createSample(0, "s3", 5)], 5)[0]?.refusal).to.equal(
      "alreadyBound",
    );
    chai.expect(bind(run, [createSample(2, "s4", 5)], 5)[0]?.refusal).to.equal(
      "noSuchSlot",
    );
  });

  it("checks samples against the staleness bound in force at that log entry", () => {
    const run = createRun();
    openStep(run, "box-1", []);
    chai.expect(bind(run, [createSample(0, "old", 3)], 5)[0]?.refusal).to.equal(
      "stale",
    );
    chai.expect(bind(run, [createSample(0, "aged", 5, 4_600)], 5)[0]?.refusal)
      .to.equal("stale");
    run.apply({ kind: "publishModel", model: "lm", weightVersion: 7 });
    chai.expect(bind(run, [createSample(0, "late", 5)], 5)[0]?.refusal).to
      .equal("stale");
    run.apply(setTemplate("tight", 2, { stalenessVersions: 0 }));
    chai.expect(bind(run, [createSample(0, "loose", 6)], 7)[0]?.refusal).to
      .equal("stale");
    chai.expect(bind(run, [createSample(0, "fresh", 7)], 7)[0]?.refusal).to
      .equal(undefined);
  });

  it("does not take a step from a serving owner and refuses samples of an earlier owner", () => {
    const run = createRun();
    openStep(run, "box-1", []);
    chai.expect(openStep(run, "box-2", ["box-1"])).to.deep.equal({
      kind: "ownedBy",
      box: "box-1",
    });
    const taken = run.apply({
      kind: "takeStep",
      stepId: "cascade/notes/1",
      box: "box-2",
      liveBoxes: [],
    });
    chai.expect(taken.kind === "step" ? taken.step.ownerEpoch : 0).to.equal(2);
    chai.expect(bind(run, [createSample(0, "s1", 5)], 5, 1)[0]?.refusal).to
      .equal("otherOwner");
    chai.expect(bind(run, [createSample(0, "s2", 5)], 5, 2)[0]?.refusal).to
      .equal(undefined);
  });

  it("never replaces a weight version of a model by an older one", () => {
    const run = new Run();
    run.apply({ kind: "publishModel", model: "lm", weightVersion: 3 });
    run.apply({ kind: "publishModel", model: "lm", weightVersion: 2 });
    chai.expect(run.state.models.get("lm")?.weightVersion).to.equal(3);
  });
});
