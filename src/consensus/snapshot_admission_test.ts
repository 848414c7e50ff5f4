import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as storage from "../storage/mod.ts";
import * as listStateMachines from "./list_state_machine_test.ts";
import * as savedRecords from "./_saved_record.ts";
import * as replicaDrivers from "./replica_driver.ts";
import * as replicaLogs from "./replica_log.ts";

/*
 * An emptied replica that takes a snapshot and the entries after it in one round
 * writes the snapshot first, with the identity that it has at the end of the
 * round, and the entries by a second write. Where it loses power between the
 * two, its disk says that it counts while it lacks entries that its former self
 * vouched for. It then votes for a replica that lacks them as well, and what was
 * accepted with its former self's word is lost for good.
 */

const TERM = 3;
const SNAPSHOT_INDEX = 2;
const COMMIT_INDEX = 5;

describe("an emptied replica that loses power in the round of its admission", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-admit-"));
  const { append } = storage.DurableLog.prototype;

  after(() => {
    storage.DurableLog.prototype.append = append;
    fs.rmSync(folder, { recursive: true, force: true });
  });

  it("does not count before it holds what was committed", async () => {
    const driver = await replicaDrivers.ReplicaDriver.open({
      config: {
        id: "c",
        voters: [],
        electionTimeoutMs: 50,
        heartbeatMs: 10,
        maxBatchEntries: 8,
        seed: 1,
      },
      clock: new clocks.FakeClock(),
      dataFolder: folder,
      stateMachine: new listStateMachines.ListStateMachine(),
      snapshotEntries: 16,
      send: () => {},
      onFatal: () => {},
    });
    // Power is lost before the next write to the log ends.
    storage.DurableLog.prototype.append = () => new Promise(() => {});
    driver.receive("a", {
      kind: "snapshotPart",
      term: TERM,
      transfer: "3.2.1",
      part: 0,
      parts: 1,
      values: ["x"],
      head: { index: SNAPSHOT_INDEX, term: 2, voters: ["a", "b", "c"] },
      sentAtMs: 0,
    });
    driver.receive("a", {
      kind: "appendRequest",
      term: TERM,
      previousIndex: SNAPSHOT_INDEX,
      previousTerm: 2,
      entries: [3, 4, COMMIT_INDEX].map((index) => ({
        index,
        term: TERM,
        command: `command ${index}`,
      })),
      commitIndex: COMMIT_INDEX,
      isEstablished: true,
      sentAtMs: 0,
    });
    const snapshotPath = path.join(folder, "snapshot.1");
    while (
      !fs.existsSync(snapshotPath) || fs.existsSync(path.join(folder, "log.0"))
    ) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const { log, loaded } = await storage.DurableLog.open(folder, "c");
    await log.close();
    const saved = savedRecords.rebuildReplica(
      savedRecords.toSnapshot(loaded.snapshot),
      loaded.records as readonly savedRecords.SavedRecord[],
    );
    const lastIndex = replicaLogs.getLastIndex(saved.log);
    const outcome = `counts: ${saved.identity.isAdmitted}, holds ${lastIndex}`;
    const isSafe = !saved.identity.isAdmitted || lastIndex >= COMMIT_INDEX;
    chai.expect(isSafe, outcome).to.equal(true);
  });
});
