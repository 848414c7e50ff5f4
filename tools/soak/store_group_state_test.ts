import * as chai from "chai";
import * as storeGroupStates from "./store_group_state.ts";
import type * as storeLogReaders from "./store_log_reader.ts";

function createLine(
  atMs: number,
  event: string,
  fields: Readonly<Record<string, string>>,
): storeLogReaders.LogLine {
  return { atMs, event, fields: new Map(Object.entries(fields)) };
}

function open(
  atMs: number,
  box: string,
  isAdmitted: "true" | "false",
): storeLogReaders.LogLine {
  return createLine(atMs, "replica.opened", {
    box,
    id: `address-${box}`,
    incarnation: String(atMs),
    isAdmitted,
    voters: '""',
    setIndex: "0",
    isSetCommitted: "true",
    lastIndex: "0",
  });
}

function setAuthority(
  atMs: number,
  box: string,
  hasAuthority: "true" | "false",
): storeLogReaders.LogLine {
  return createLine(atMs, "replica.authority", { box, hasAuthority });
}

function changeSet(
  atMs: number,
  boxes: readonly string[],
  setIndex: string,
): storeLogReaders.LogLine {
  return createLine(atMs, "replica.voters", {
    box: "a",
    voters: boxes.map((box) => `address-${box}`).join(","),
    setIndex,
    isSetCommitted: "true",
  });
}

const START = [
  open(0, "a", "true"),
  open(1, "b", "true"),
  open(2, "c", "true"),
  open(3, "d", "false"),
  changeSet(4, ["a", "b", "c"], "1"),
];

function findCounted(
  role: storeGroupStates.CountedRole,
  ...lines: readonly storeLogReaders.LogLine[]
): string | undefined {
  const state = storeGroupStates.readState([...START, ...lines]);
  return storeGroupStates.findCounted(state, role)?.box;
}

describe("findCounted", () => {
  it("prefers the leader, and for a follower the voter admitted first", () => {
    const leads = setAuthority(10, "b", "true");
    chai.expect(findCounted("any", leads)).to.equal("b");
    chai.expect(findCounted("follower", leads)).to.equal("a");
  });

  it("takes the voter admitted first where none leads", () => {
    const lines = [
      setAuthority(10, "b", "true"),
      setAuthority(11, "b", "false"),
    ];
    chai.expect(findCounted("any", ...lines)).to.equal("a");
  });

  it("names no box whose disk was lost since it led", () => {
    const lines = [setAuthority(10, "a", "true"), open(20, "a", "false")];
    chai.expect(findCounted("any", ...lines)).to.equal("b");
    chai.expect(findCounted("follower", ...lines)).to.equal("b");
  });

  it("names the newer of two leaders", () => {
    const lines = [
      setAuthority(10, "a", "true"),
      setAuthority(20, "c", "true"),
    ];
    chai.expect(findCounted("any", ...lines)).to.equal("c");
  });

  it("names no admitted box outside the newest committed set", () => {
    const lines = [
      createLine(10, "replica.admitted", { box: "d" }),
      changeSet(20, ["b", "c", "d"], "7"),
      setAuthority(30, "a", "true"),
    ];
    chai.expect(findCounted("any", ...lines)).to.equal("b");
  });

  it("keeps the time of the admission over a restart with the disk", () => {
    const lines = [open(50, "a", "true"), setAuthority(60, "b", "true")];
    chai.expect(findCounted("follower", ...lines)).to.equal("a");
  });

  it("puts a voter that was emptied and admitted anew last", () => {
    const lines = [
      open(50, "a", "false"),
      createLine(60, "replica.admitted", { box: "a" }),
      setAuthority(70, "b", "true"),
    ];
    chai.expect(findCounted("follower", ...lines)).to.equal("c");
  });

  it("finds none without a committed set", () => {
    const state = storeGroupStates.readState([open(0, "a", "true")]);
    chai.expect(storeGroupStates.findCounted(state, "any")).to.equal(undefined);
  });
});

function canBear(boxes: readonly string[], lossesToBear: number): boolean {
  const lines = [
    ...boxes.map((box) => open(0, box, "true")),
    changeSet(1, boxes, "1"),
  ];
  const state = storeGroupStates.readState(lines);
  return storeGroupStates.canBearLosses(state, lossesToBear);
}

describe("canBearLosses", () => {
  it("asks for a majority of the set after the losses", () => {
    chai.expect(canBear([], 1)).to.equal(false);
    chai.expect(canBear(["a", "b"], 1)).to.equal(false);
    chai.expect(canBear(["a", "b", "c"], 1)).to.equal(true);
    chai.expect(canBear(["a", "b", "c", "d"], 1)).to.equal(true);
    chai.expect(canBear(["a", "b", "c", "d"], 2)).to.equal(false);
    chai.expect(canBear(["a", "b", "c", "d", "e"], 2)).to.equal(true);
  });

  it("asks for all voters of the set", () => {
    const lines = [
      ...["a", "b", "c", "d"].map((box) => open(0, box, "true")),
      open(0, "e", "false"),
      changeSet(1, ["a", "b", "c", "d", "e"], "1"),
    ];
    const state = storeGroupStates.readState(lines);
    chai.expect(storeGroupStates.canBearLosses(state, 1)).to.equal(false);
  });
});
