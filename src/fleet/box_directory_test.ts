import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as boxDirectories from "./box_directory.ts";
import type * as boxRecords from "./box_record.ts";
import * as recordFixtures from "./box_record_fixture_test.ts";

/*
 * A box's record names the time of day at which its process started. Where that
 * clock was stepped back before the box was started again, the new process has the
 * earlier start, and boxes that had heard the former one took all that it said for
 * old, for up to a minute: no entry box asked it as a leader, and it was no
 * candidate when a voter had to be replaced.
 */

const FORMER = recordFixtures.FORMER_RECORD;
const LATER: boxRecords.BoxRecord = {
  ...FORMER,
  startedAtMs: 30_000,
  sequence: 1,
};

describe("box directory", () => {
  let clock: clocks.FakeClock;
  let directory: boxDirectories.BoxDirectory;

  beforeEach(() => {
    clock = new clocks.FakeClock();
    directory = new boxDirectories.BoxDirectory(clock);
    directory.merge(FORMER);
  });

  it("takes the record of a process whose clock was stepped back, once the former one is silent", () => {
    clock.advance(boxDirectories.BOX_TIMEOUT_MS + 1);
    chai.expect(directory.merge(LATER)).to.equal("changed");
    chai.expect(directory.listAlive()).to.deep.equal([LATER]);
  });

  it("takes no record of an earlier start while the box is heard", () => {
    clock.advance(boxDirectories.BOX_TIMEOUT_MS - 1);
    chai.expect(directory.merge(LATER)).to.equal("old");
    chai.expect(directory.listAlive()).to.deep.equal([FORMER]);
  });

  it("takes no older record of the same start, however long the box is silent", () => {
    clock.advance(boxDirectories.BOX_TIMEOUT_MS + 1);
    chai.expect(directory.merge({ ...FORMER, sequence: 39 })).to.equal("old");
    chai.expect(directory.listAlive()).to.deep.equal([]);
  });
});
