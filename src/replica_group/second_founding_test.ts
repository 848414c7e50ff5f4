import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as bootstrapServices from "./bootstrap_service.ts";

/*
 * The first seed names the voters, and its process is killed before all boxes have
 * asked again. The others ask the second seed, which must not name other voters:
 * both sets would be the first entry of a log, with the same index and term.
 */

const POLL_MS = 250;
const POLLS = 80;
/** Time after which clients ask the second seed, in ms. */
const SECOND_SEED_MS = 4_000;

function createSeed(
  clock: clocks.Clock,
  isFirstStart: boolean,
): bootstrapServices.BootstrapService {
  return new bootstrapServices.BootstrapService({
    clock,
    log: { write: () => {} } as unknown as logs.Log,
    server: { add: () => {} } as unknown as rpc.MethodRegistry,
    isFirstStart,
  });
}

describe("founding of a group whose first seed is killed", () => {
  it("names one set of voters", () => {
    const clock = new clocks.FakeClock();
    let first = createSeed(clock, true);
    const second = createSeed(clock, true);
    const founded = new Map<string, string>();
    for (let poll = 0; poll < POLLS; poll += 1) {
      for (const id of ["a", "b", "c", "d"]) {
        if (founded.has(id)) continue;
        const request: bootstrapServices.BootstrapRequest = {
          group: "stores",
          id,
          failureDomain: id,
          wanted: 3,
          least: 3,
        };
        const seeds = poll * POLL_MS < SECOND_SEED_MS
          ? [first]
          : [first, second];
        for (const seed of seeds) {
          const reply = seed.handleRequest(request);
          if (reply.kind === "founded") founded.set(id, reply.voters.join());
          if (reply.kind !== "refused") break;
        }
        // The box of the first seed is a; it starts again with its disk.
        if (founded.size === 2) first = createSeed(clock, false);
      }
      clock.advance(POLL_MS);
    }
    chai.expect([...new Set(founded.values())]).to.deep.equal(["a,b,c"]);
  });
});
