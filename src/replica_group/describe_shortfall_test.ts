import * as chai from "chai";
import * as consensus from "../consensus/mod.ts";
import * as describeShortfall from "./describe_shortfall.ts";
import type * as planVoters from "./plan_voters.ts";

const COMMIT_INDEX = 900;

function createFollower(
  id: string,
  changes: Partial<consensus.FollowerStatus> = {},
): consensus.FollowerStatus {
  return {
    id,
    matchIndex: COMMIT_INDEX,
    silentMs: 40,
    isAdmitted: true,
    isReplaceable: false,
    ...changes,
  };
}

const B = createFollower("b");
const C = createFollower("c");
/** A voter that lost its disk and lacks 30 entries. */
const EMPTIED_C = createFollower("c", {
  matchIndex: COMMIT_INDEX - 30,
  isAdmitted: false,
});
const SILENT_C = createFollower("c", {
  silentMs: consensus.PRESENCE_TIMEOUT_MS,
});

const PLAN: planVoters.VoterPlanInput = {
  self: "a",
  voters: ["a", "b", "c"],
  wanted: 3,
  minVoters: 3,
  standbys: 1,
  commitIndex: COMMIT_INDEX,
  leadershipMs: 60_000,
  followers: [B, C],
  candidates: ["a", "b", "c", "d"],
  failureDomains: new Map([..."abcde"].map((id) => [id, `of ${id}`])),
  retiring: [],
  failureTimeoutMs: 2_000,
};

/** Judges a group with a committed set that should bear one loss. */
function evaluate(
  changes: Partial<planVoters.VoterPlanInput>,
  others: Partial<describeShortfall.ShortfallInput> = {},
): describeShortfall.GroupStrength {
  return describeShortfall.describeShortfall({
    plan: { ...PLAN, ...changes },
    isSetCommitted: true,
    lossesToBear: 1,
    ...others,
  });
}

function listNeeds(
  ...input: Parameters<typeof evaluate>
): readonly describeShortfall.Need[] | "whole" {
  const strength = evaluate(...input);
  return strength.kind === "short" ? strength.needs : "whole";
}

describe("strength of a replica group", () => {
  it("is whole while a majority remains after the losses", () => {
    chai.expect(evaluate({})).to.deep.equal({
      kind: "whole",
      voters: ["a", "b", "c"],
      counted: ["a", "b", "c"],
      lossesLeft: 1,
    });
  });

  it("is whole without some voters if the others are enough", () => {
    const voters = ["a", "b", "c", "d", "e"];
    const followers = [B, EMPTIED_C, createFollower("d"), createFollower("e")];
    const plan = { voters, wanted: 5, followers };
    const strength = evaluate(plan);
    chai.expect(strength.kind).to.equal("whole");
    chai.expect(strength.counted).to.deep.equal(["a", "b", "d", "e"]);
    chai.expect(strength.lossesLeft).to.equal(1);
    chai.expect(evaluate(plan, { lossesToBear: 2 }).kind).to.equal("short");
  });

  it("tells which voters count and how many may be lost while it is short", () => {
    const strength = evaluate({ followers: [SILENT_C] });
    chai.expect(strength.kind).to.equal("short");
    chai.expect(strength.voters).to.deep.equal(["a", "b", "c"]);
    chai.expect(strength.counted).to.deep.equal(["a"]);
    chai.expect(strength.lossesLeft).to.equal(-1);
  });

  it("waits for a voter that lost its disk, with the entries that it lacks", () => {
    chai.expect(listNeeds({ followers: [B, EMPTIED_C] })).to.deep.equal([
      { kind: "unadmittedVoter", id: "c", lag: 30 },
      { kind: "spare", id: "d" },
    ]);
  });

  it("waits for a voter that does not answer", () => {
    const { silentMs } = SILENT_C;
    chai.expect(listNeeds({ followers: [B, SILENT_C] })).to.deep.equal([
      { kind: "silentVoter", id: "c", silentMs },
      { kind: "spare", id: "d" },
    ]);
    const lastAnswer = { ...SILENT_C, silentMs: silentMs - 1 };
    chai.expect(listNeeds({ followers: [B, lastAnswer] })).to.equal("whole");
  });

  it("does not count a voter that has not answered this leader yet", () => {
    const silentMs = Number.POSITIVE_INFINITY;
    const unheard = createFollower("c", {
      silentMs,
      matchIndex: 0,
      isAdmitted: false,
    });
    const expected = [
      { kind: "silentVoter", id: "c", silentMs },
      { kind: "spare", id: "d" },
    ];
    chai.expect(listNeeds({ followers: [B, unheard] })).to.deep.equal(expected);
    chai.expect(listNeeds({ followers: [B] })).to.deep.equal(expected);
  });

  it("waits for the learner that lacks least, one for each place", () => {
    const followers = [
      B,
      SILENT_C,
      createFollower("d", { matchIndex: 32, isAdmitted: false }),
      createFollower("e", { matchIndex: COMMIT_INDEX + 2 }),
    ];
    const candidates = ["a", "b", "c", "d", "e"];
    const silent = { kind: "silentVoter", id: "c", silentMs: 1_000 };
    const first = { kind: "learner", id: "e", lag: 0, silentMs: 40 };
    const second = { kind: "learner", id: "d", lag: 868, silentMs: 40 };
    chai.expect(listNeeds({ followers, candidates })).to.deep.equal([
      silent,
      first,
    ]);
    // Five voters are wanted: two places are free, and that of c.
    chai.expect(listNeeds({ followers, candidates, wanted: 5 })).to.deep.equal([
      silent,
      first,
      second,
      { kind: "noBox" },
    ]);
  });

  it("does not wait for a learner that can't become a voter", () => {
    const followers = [B, SILENT_C, createFollower("d")];
    const candidates = ["a", "b", "c"];
    chai.expect(listNeeds({ followers, candidates })).to.deep.equal([
      { kind: "silentVoter", id: "c", silentMs: 1_000 },
      { kind: "noBox" },
    ]);
  });

  it("is short with two voters, as neither may be lost", () => {
    const voters = ["a", "b"];
    const strength = evaluate({ voters, followers: [B] });
    chai.expect(strength.lossesLeft).to.equal(0);
    chai.expect(listNeeds({ voters, followers: [B] })).to.deep.equal([
      { kind: "spare", id: "c" },
    ]);
    const candidates = ["a", "b"];
    chai.expect(listNeeds({ voters, followers: [B], candidates })).to.deep
      .equal([{ kind: "noBox" }]);
  });

  it("waits for no stand-in while a set of four has one for a lost voter", () => {
    const voters = ["a", "b", "c", "d"];
    const followers = [B, EMPTIED_C, createFollower("d")];
    chai.expect(listNeeds({ voters, followers })).to.deep.equal([
      { kind: "unadmittedVoter", id: "c", lag: 30 },
    ]);
    const admitted = [B, C, createFollower("d")];
    chai.expect(listNeeds({ voters, followers: admitted })).to.equal("whole");
  });

  it("waits for a change of voters that is not committed, and for what holds it up", () => {
    const isSetCommitted = false;
    chai.expect(listNeeds({}, { isSetCommitted })).to.deep.equal([
      { kind: "change" },
    ]);
    const voters = ["a", "b", "c", "d"];
    const followers = [B, SILENT_C, createFollower("d")];
    chai.expect(listNeeds({ voters, followers }, { isSetCommitted })).to.deep
      .equal([
        { kind: "change" },
        { kind: "silentVoter", id: "c", silentMs: 1_000 },
      ]);
  });

  it("is whole without losses to bear while it has a quorum", () => {
    const others = { lossesToBear: 0 };
    chai.expect(listNeeds({ followers: [B, SILENT_C] }, others)).to.equal(
      "whole",
    );
    chai.expect(listNeeds({ voters: ["a"], followers: [] }, others)).to.equal(
      "whole",
    );
  });
});
