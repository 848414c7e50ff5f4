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
 * A wiped replica that receives a snapshot and the entries after it in one batch
 * writes them separately. If the first write marks it as admitted and power is lost
 * before the second, it votes without entries that it had acknowledged before, and
 * committed commands can be lost.
 */

const TERM = 3;
const SNAPSHOT_INDEX = 2;
const COMMIT_INDEX = 5;

describe("wiped replica that loses power while it is admitted", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-admit-"));
  const { append } = storage.DurableLog.prototype;

  after(() => {
    storage.DurableLog.prototype.append = append;
    fs.rmSync(folder, { recursive: true, force: true });
  });

  it("is not admitted on disk before it holds all committed entries", async () => {
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
    // Simulates a power loss before the next append to the log completes.
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
    const outcome =
      `admitted: ${saved.identity.isAdmitted}, last index: ${lastIndex}`;
    const isSafe = !saved.identity.isAdmitted || lastIndex >= COMMIT_INDEX;
    chai.expect(isSafe, outcome).to.equal(true);
  });
});
