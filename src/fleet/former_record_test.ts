import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as boxDirectories from "./box_directory.ts";
import type * as boxRecords from "./box_record.ts";
import * as recordFixtures from "./box_record_fixture_test.ts";

/*
 * Where a box's clock was stepped back before its process was started again, other
 * boxes take the new record once they have not heard the former process for 1.8 s,
 * each at its own time. One that has taken it still takes the former record from
 * one that has not, as that names the later start, and refuses the living process
 * for 1.8 s more. Nine boxes that exchange their records each 2 s so pass the record
 * of a process that is no more to and fro, and take it for alive and ready: for
 * 5 s and more in one of ten runs, for 23 s at the longest of a hundred.
 */

const FORMER = recordFixtures.FORMER_RECORD;
const LATER: boxRecords.BoxRecord = {
  ...FORMER,
  startedAtMs: 30_000,
  isReady: false,
  sequence: 1,
};

describe("box directory of a box whose clock was stepped back", () => {
  it("takes no record of its former process after one of the later", () => {
    const clock = new clocks.FakeClock();
    const directory = new boxDirectories.BoxDirectory(clock);
    directory.merge(FORMER);
    clock.advance(boxDirectories.BOX_TIMEOUT_MS + 1);
    directory.merge(LATER);
    chai.expect(directory.merge(FORMER)).to.equal("old");
    chai.expect(directory.listAlive()).to.deep.equal([LATER]);
  });
});
