import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as boxDirectories from "./box_directory.ts";
import type * as boxRecords from "./box_record.ts";
import * as recordFixtures from "./box_record_fixture_test.ts";

/*
 * After a restart with a clock that was stepped back, boxes accept the new record at
 * different times. A box that has accepted it must not go back to the former record
 * that another box still sends, or the dead process would seem alive.
 */

const FORMER = recordFixtures.FORMER_RECORD;
const LATER: boxRecords.BoxRecord = {
  ...FORMER,
  startedAtMs: 30_000,
  isReady: false,
  sequence: 1,
};

describe("box directory after a restart with a clock that was stepped back", () => {
  it("rejects records of the former process after one of its successor", () => {
    const clock = new clocks.FakeClock();
    const directory = new boxDirectories.BoxDirectory(clock);
    directory.merge(FORMER);
    clock.advance(boxDirectories.BOX_TIMEOUT_MS + 1);
    directory.merge(LATER);
    chai.expect(directory.merge(FORMER)).to.equal("old");
    chai.expect(directory.listAlive()).to.deep.equal([LATER]);
  });
});
