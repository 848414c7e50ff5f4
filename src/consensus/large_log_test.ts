import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as initializeDataFolder from "./initialize_data_folder.ts";
import * as replicaDrivers from "./replica_driver.ts";

/*
 * A log was cut after so many entries, whatever their size. With entries of 98 KB
 * it held 70 MB before the first cut; the leader, with 140 MB of heap, ran out of
 * memory while it fed a replica that had lost its disk ("JavaScript heap out of
 * memory"), and two of three voters were left, one of them not admitted.
 */

const COMMANDS = 80;
const COMMAND_BYTES = 1024 * 1024;
/** Largest log with the snapshot beside it, in bytes. */
const MAX_FOLDER_BYTES = 48 * 1024 * 1024;
const RETRY_INTERVAL_MS = 10;
const PROPOSAL_TIMEOUT_MS = 5_000;

function measureFolderBytes(folder: string): number {
  return fs.readdirSync(folder)
    .reduce((sum, name) => sum + fs.statSync(path.join(folder, name)).size, 0);
}

describe("a log of large entries", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-large-"));

  after(() => fs.rmSync(folder, { recursive: true, force: true }));

  it("is cut by its bytes, long before it holds as many entries", async () => {
    await initializeDataFolder.initializeDataFolder({
      folder,
      owner: "a",
      wallMs: 1,
      voters: ["a"],
    });
    const clock = new clocks.SystemClock();
    const driver = await replicaDrivers.ReplicaDriver.open({
      config: {
        id: "a",
        voters: [],
        electionTimeoutMs: 50,
        heartbeatMs: 10,
        maxBatchEntries: 8,
        seed: 1,
      },
      clock,
      dataFolder: folder,
      stateMachine: { apply: () => 0, save: () => [], restore: () => {} },
      snapshotEntries: 4_096,
      send: () => {},
      onFatal: () => {},
    });
    const text = "x".repeat(COMMAND_BYTES);
    for (let committed = 0; committed < COMMANDS;) {
      const result = await driver.propose(
        { done: committed, text },
        PROPOSAL_TIMEOUT_MS,
      );
      if (result.kind === "ok") committed += 1;
      else await clocks.sleep(clock, RETRY_INTERVAL_MS);
    }
    await driver.stop();
    chai.expect(measureFolderBytes(folder)).to.be.lessThan(MAX_FOLDER_BYTES);
  });
});
