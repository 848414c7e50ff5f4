import * as chai from "chai";
import type * as fleet from "../fleet/mod.ts";
import * as chooseEntryBoxes from "./_choose_entry_boxes.ts";

const RESPONSIVE_MS = 600;
/** Less than the time after which a box is taken for gone. */
const SUSPECT_MS = 1_200;

function createBox(
  id: string,
  failureDomain: string,
  changes: Partial<fleet.BoxRecord> = {},
): fleet.BoxRecord {
  return {
    id,
    name: id,
    failureDomain,
    region: "r",
    peerPort: 1,
    callerAddress: `${id}:1`,
    isCore: false,
    isStore: false,
    isReady: true,
    isLeaving: false,
    ledTerm: 0,
    startedAtMs: 1,
    sequence: 1,
    ...changes,
  };
}

function choose(
  alive: readonly fleet.BoxRecord[],
  silent: readonly string[] = [],
): readonly string[] {
  return chooseEntryBoxes.chooseEntryBoxes({
    alive,
    failureDomain: "z1",
    getSilenceMs: (id) => silent.includes(id) ? SUSPECT_MS : RESPONSIVE_MS,
  }).map((box) => box.id);
}

describe("choice of entry boxes", () => {
  const sameDomain = ["a", "b", "c", "d"].map((id) => createBox(id, "z1"));
  const otherDomain = ["e", "f"].map((id) => createBox(id, "z2"));

  it("names the boxes of the caller's failure domain", () => {
    chai.expect(choose([...sameDomain, ...otherDomain])).to.deep.equal([
      "a",
      "b",
      "c",
      "d",
    ]);
  });

  it("names all boxes where too few are near", () => {
    chai.expect(choose([createBox("a", "z1"), ...otherDomain])).to.deep.equal([
      "a",
      "e",
      "f",
    ]);
  });

  it("names no box that is not ready, leaves, or serves no callers", () => {
    const boxes = [
      ...sameDomain,
      createBox("g", "z1", { isReady: false }),
      createBox("h", "z1", { isLeaving: true }),
      createBox("i", "z1", { callerAddress: undefined }),
    ];
    chai.expect(choose(boxes)).to.deep.equal(["a", "b", "c", "d"]);
  });

  it("leaves out a quarter of the boxes before they are taken for gone", () => {
    chai.expect(choose(sameDomain, ["b"])).to.deep.equal(["a", "c", "d"]);
  });

  it("leaves none out where most are silent, as the news are then at fault", () => {
    chai.expect(choose(sameDomain, ["a", "b", "c"])).to.deep.equal([
      "a",
      "b",
      "c",
      "d",
    ]);
    chai.expect(choose([createBox("a", "z1")], ["a"])).to.deep.equal(["a"]);
  });
});
