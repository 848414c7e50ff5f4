import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as layouts from "./fleet_layout.ts";
import type * as fleets from "./soak_fleet.ts";
import * as storeFinders from "./store_finder.ts";
import * as storeLogReaders from "./store_log_reader.ts";

const FIRST_SUBNET = 10;
const STORES = [0, 1, 2, 3].map((index) =>
  layouts.createStoreBox(FIRST_SUBNET, index)
);
const VOTERS = STORES.slice(0, 3).map(({ address }) => address).join(",");

function createTime(atMs: number): string {
  return new Date(atMs).toISOString();
}

function open(atMs: number, box: layouts.SoakBox): string {
  return `time=${createTime(atMs)} event=replica.opened box=${box.name} ` +
    `group=stores id=${box.address} incarnation=1 isAdmitted=true ` +
    `voters=${VOTERS} setIndex=1 isSetCommitted=true lastIndex=1\n`;
}

function showAuthority(atMs: number, box: layouts.SoakBox): string {
  return `time=${createTime(atMs)} event=replica.authority box=${box.name} ` +
    "group=stores hasAuthority=true term=2\n";
}

describe("StoreFinder", () => {
  let folder = "";
  let running = STORES;

  function createFinder(): storeFinders.StoreFinder {
    const fleet: Pick<fleets.SoakFleet, "listStores" | "isRunning"> = {
      listStores: () => STORES,
      isRunning: (box) => running.includes(box),
    };
    const reader = new storeLogReaders.StoreLogReader(folder);
    return new storeFinders.StoreFinder(fleet, reader);
  }

  beforeEach(() => {
    running = STORES;
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-finder-"));
    STORES.forEach((box, index) => {
      const text = open(1_000 + index, box) +
        (index === 1 ? showAuthority(2_000, box) : "");
      fs.writeFileSync(path.join(folder, `${box.name}.log`), text);
    });
  });

  afterEach(() => fs.rmSync(folder, { recursive: true, force: true }));

  it("names the leader, and the follower admitted first", () => {
    const finder = createFinder();
    chai.expect(finder.findStore({ kind: "counted" })).to.equal(STORES[1]);
    chai.expect(finder.findStore({ kind: "countedFollower" }))
      .to.equal(STORES[0]);
  });

  it("names no box that has not opened its new disk", () => {
    const [first, leader, third] = STORES;
    const finder = createFinder();
    if (leader === undefined) throw new Error("no store");
    finder.recordNewDisk(leader, 3_000);
    chai.expect(finder.findStore({ kind: "counted" })).to.equal(first);
    running = STORES.filter((box) => box !== first);
    chai.expect(finder.findStore({ kind: "counted" })).to.equal(third);
  });
});
