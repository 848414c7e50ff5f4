import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as boxDirectories from "./box_directory.ts";
import type * as boxRecords from "./box_record.ts";
import * as recordFixtures from "./box_record_fixture_test.ts";

/*
 * A process that starts after its clock was stepped back has an earlier start time
 * than its predecessor. The others must not ignore its records as outdated.
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

  it("accepts a record with an earlier start time once the former process is silent", () => {
    clock.advance(boxDirectories.BOX_TIMEOUT_MS + 1);
    chai.expect(directory.merge(LATER)).to.equal("changed");
    chai.expect(directory.listAlive()).to.deep.equal([LATER]);
  });

  it("rejects a record with an earlier start time while the box is alive", () => {
    clock.advance(boxDirectories.BOX_TIMEOUT_MS - 1);
    chai.expect(directory.merge(LATER)).to.equal("old");
    chai.expect(directory.listAlive()).to.deep.equal([FORMER]);
  });

  it("rejects an older record of the same process even after the timeout", () => {
    clock.advance(boxDirectories.BOX_TIMEOUT_MS + 1);
    chai.expect(directory.merge({ ...FORMER, sequence: 39 })).to.equal("old");
    chai.expect(directory.listAlive()).to.deep.equal([]);
  });
});
