import * as chai from "chai";
import * as setWaits from "./set_wait.ts";
import type * as storeLogReaders from "./store_log_reader.ts";

const LOSSES_TO_BEAR = 1;
const BOUND_MS = 5_100;

function createLine(
  atMs: number,
  event: string,
  fields: Readonly<Record<string, string>>,
): storeLogReaders.LogLine {
  return { atMs, event, fields: new Map(Object.entries(fields)) };
}

/** Line of a replica that opens with its disk and counts. */
function openAdmitted(atMs: number, box: string): storeLogReaders.LogLine {
  return createLine(atMs, "replica.opened", {
    box,
    id: box,
    incarnation: "1",
    isAdmitted: "true",
    voters: "a,b,c",
    setIndex: "1",
    isSetCommitted: "true",
    lastIndex: "1",
  });
}

/** Line of a replica that opens without being admitted. */
function openUnadmitted(
  atMs: number,
  box: string,
  incarnation: string,
  lastIndex = "0",
): storeLogReaders.LogLine {
  return createLine(atMs, "replica.opened", {
    box,
    id: box,
    incarnation,
    isAdmitted: "false",
    voters: '""',
    setIndex: "0",
    isSetCommitted: "true",
    lastIndex,
  });
}

function admit(atMs: number, box: string): storeLogReaders.LogLine {
  return createLine(atMs, "replica.admitted", { box });
}

function changeSet(
  atMs: number,
  voters: string,
  setIndex: string,
  isSetCommitted = "true",
): storeLogReaders.LogLine {
  return createLine(atMs, "replica.voters", {
    box: "a",
    voters,
    setIndex,
    isSetCommitted,
  });
}

const START = [
  openAdmitted(0, "a"),
  openAdmitted(0, "b"),
  openAdmitted(0, "c"),
  openUnadmitted(0, "d", "1"),
];

function measure(
  ...lines: readonly storeLogReaders.LogLine[]
): readonly (number | undefined)[] {
  return setWaits.measureSetWaits([...START, ...lines], LOSSES_TO_BEAR)
    .map(({ waitMs }) => waitMs);
}

describe("measureSetWaits", () => {
  it("finds none where no disk was lost", () => {
    chai.expect(measure(openAdmitted(1_000, "b"))).to.deep.equal([]);
    chai.expect(measure(openUnadmitted(1_000, "d", "1"))).to.deep.equal([]);
  });

  it("ends once the emptied voter is admitted", () => {
    const waits = setWaits.measureSetWaits(
      [...START, openUnadmitted(1_000, "b", "2"), admit(3_500, "b")],
      LOSSES_TO_BEAR,
    );
    chai.expect(waits).to.deep.equal([
      { box: "b", openedAtMs: 1_000, waitMs: 2_500 },
    ]);
  });

  it("ends once a set without the emptied voter is committed", () => {
    chai.expect(measure(
      openUnadmitted(1_000, "b", "2"),
      admit(2_000, "d"),
      changeSet(2_100, "a,b,c,d", "20"),
      changeSet(2_200, "a,c,d", "21", "false"),
      changeSet(2_400, "a,c,d", "21"),
    )).to.deep.equal([1_400]);
  });

  it("does not end with a set of two, which bears no loss", () => {
    chai.expect(measure(
      openUnadmitted(1_000, "b", "2"),
      changeSet(1_500, "a,c", "20"),
      admit(4_000, "d"),
      changeSet(4_600, "a,c,d", "21"),
    )).to.deep.equal([3_600]);
  });

  it("passes over an older set that a box learns late", () => {
    chai.expect(measure(
      openUnadmitted(1_000, "b", "2"),
      admit(2_000, "d"),
      changeSet(2_500, "a,b,c,d", "20"),
      changeSet(2_600, "a,b,c", "1"),
      admit(3_000, "b"),
    )).to.deep.equal([2_000]);
  });

  it("is zero where the emptied box is no voter", () => {
    chai.expect(measure(openUnadmitted(1_000, "d", "2"))).to.deep.equal([0]);
  });

  it("measures each emptied disk up to the same moment", () => {
    chai.expect(measure(
      openUnadmitted(1_000, "b", "2"),
      openUnadmitted(7_000, "c", "2"),
      admit(8_000, "b"),
      admit(9_500, "c"),
    )).to.deep.equal([8_500, 2_500]);
  });

  it("counts a restart before the admission as no further lost disk", () => {
    chai.expect(measure(
      openUnadmitted(1_000, "b", "2"),
      openUnadmitted(2_000, "b", "2", "40"),
      admit(3_000, "b"),
    )).to.deep.equal([2_000]);
  });

  it("has no end where the group never is whole again", () => {
    const [wait] = setWaits.measureSetWaits(
      [...START, openUnadmitted(1_000, "b", "2")],
      LOSSES_TO_BEAR,
    );
    chai.expect(wait).to.deep.equal({
      box: "b",
      openedAtMs: 1_000,
      waitMs: undefined,
    });
  });

  it("takes lines in any order", () => {
    const lines = [openUnadmitted(1_000, "b", "2"), admit(3_500, "b")];
    chai.expect(measure(...lines.toReversed())).to.deep.equal([2_500]);
  });
});

function hasPassed(waitMs: number | undefined): boolean {
  const wait = { box: "b", openedAtMs: 0, waitMs };
  return setWaits.hasPassedBound(wait, BOUND_MS);
}

describe("hasPassedBound", () => {
  it("holds for a wait above the bound and for one without end", () => {
    chai.expect(hasPassed(BOUND_MS)).to.equal(false);
    chai.expect(hasPassed(BOUND_MS + 1)).to.equal(true);
    chai.expect(hasPassed(undefined)).to.equal(true);
  });
});
