import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as listStateMachines from "./list_state_machine_test.ts";
import * as initializeDataFolder from "./initialize_data_folder.ts";
import * as openReplicas from "./_open_replica.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaOptions from "./replica_options.ts";
import type * as replicaStates from "./replica_state.ts";
import * as replicaDrivers from "./replica_driver.ts";

/** Creates the options of a replica `a` that is the only voter. */
function createOptions(
  dataFolder: string,
  stateMachine: listStateMachines.ListStateMachine,
  config: Partial<replicaStates.ReplicaConfig> = {},
): replicaOptions.ReplicaDriverOptions {
  return {
    config: {
      id: "a",
      voters: ["a"],
      electionTimeoutMs: 50,
      heartbeatMs: 10,
      maxBatchEntries: 8,
      seed: 1,
      ...config,
    },
    clock: new clocks.SystemClock(),
    dataFolder,
    stateMachine,
    snapshotEntries: 16,
    send: () => {},
    onFatal: () => {},
  };
}

/** Creates an initialized data folder of replica `a`. */
async function createDataFolder(voters: readonly string[]): Promise<string> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-replica-"));
  await initializeDataFolder.initializeDataFolder({
    folder,
    owner: "a",
    wallMs: 5,
    voters,
  });
  return folder;
}

describe("replica driver", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-driver-"));
  let fatalErrors: readonly unknown[] = [];

  after(() => fs.rmSync(folder, { recursive: true, force: true }));

  function openDriver(
    machine: listStateMachines.ListStateMachine,
    dataFolder = folder,
  ): Promise<replicaDrivers.ReplicaDriver> {
    return replicaDrivers.ReplicaDriver.open({
      ...createOptions(dataFolder, machine),
      onFatal: (error) => {
        fatalErrors = [...fatalErrors, error];
      },
    });
  }

  async function proposeWithRetry(
    driver: replicaDrivers.ReplicaDriver,
    command: string,
  ): Promise<void> {
    for (;;) {
      const result = await driver.propose(command, 5_000);
      if (result.kind === "ok") return;
      await clocks.sleep(new clocks.SystemClock(), 10);
    }
  }

  it("does not become leader with an uninitialized data folder", async () => {
    const emptyFolder = fs.mkdtempSync(
      path.join(os.tmpdir(), "hoistscale-empty-"),
    );
    const machine = new listStateMachines.ListStateMachine();
    const driver = await replicaDrivers.ReplicaDriver.open(
      createOptions(emptyFolder, machine, {
        electionTimeoutMs: 10,
        heartbeatMs: 5,
      }),
    );
    await clocks.sleep(new clocks.SystemClock(), 100);
    chai.expect(driver.getStatus().role).to.equal("follower");
    await driver.stop();
    fs.rmSync(emptyFolder, { recursive: true, force: true });
  });

  it("reports the stored state and the torn bytes when it is opened", async () => {
    const testFolder = await createDataFolder(["a", "b"]);
    fs.appendFileSync(path.join(testFolder, "log.0"), Buffer.from([1, 2, 3]));
    const reported: notices.ReplicaNotice[] = [];
    const { log } = await openReplicas.openReplica({
      ...createOptions(testFolder, new listStateMachines.ListStateMachine(), {
        voters: [],
      }),
      clock: new clocks.FakeClock(),
      onNotice: (notice) => reported.push(notice),
    });
    await log.close();
    chai.expect(reported).to.deep.equal([{
      kind: "opened",
      id: "a",
      identity: { incarnation: 5, isAdmitted: true },
      term: 1,
      votedFor: undefined,
      set: { voters: ["a", "b"], index: 1, isCommitted: false },
      snapshotIndex: 0,
      lastIndex: 1,
      lastTerm: 1,
      tornBytes: 3,
    }]);
    fs.rmSync(testFolder, { recursive: true, force: true });
  });

  it("hands over the commands that follow the snapshot when it is opened", async () => {
    const testFolder = await createDataFolder(["a"]);
    const first = new listStateMachines.ListStateMachine();
    const driver = await openDriver(first, testFolder);
    for (const command of ["one", "two"]) {
      await proposeWithRetry(driver, command);
    }
    await driver.stop();
    const read: unknown[] = [];
    const second = new listStateMachines.ListStateMachine();
    const { log } = await openReplicas.openReplica({
      ...createOptions(testFolder, second),
      clock: new clocks.FakeClock(),
      onLogRead: (commands) => read.push(...commands),
    });
    await log.close();
    chai.expect(read.filter((command) => typeof command === "string")).to.deep
      .equal(["one", "two"]);
    fs.rmSync(testFolder, { recursive: true, force: true });
  });

  it("reports a missing leader without any event", async () => {
    const testFolder = fs.mkdtempSync(
      path.join(os.tmpdir(), "hoistscale-alone-"),
    );
    const clock = new clocks.FakeClock();
    const reportedKinds: string[] = [];
    const driver = await replicaDrivers.ReplicaDriver.open({
      config: {
        id: "a",
        voters: ["a", "b", "c"],
        electionTimeoutMs: 50,
        heartbeatMs: 10,
        maxBatchEntries: 8,
        seed: 1,
      },
      clock,
      dataFolder: testFolder,
      stateMachine: new listStateMachines.ListStateMachine(),
      snapshotEntries: 16,
      send: () => {},
      onNotice: (notice) => reportedKinds.push(notice.kind),
      onFatal: () => {},
    });
    clock.advance(6_000);
    chai.expect(reportedKinds).to.deep.equal(
      ["opened", "leaderless", "leaderless", "leaderless"],
    );
    chai.expect(driver.getHealth()).to.deep.equal({
      role: "follower",
      term: 0,
      leader: undefined,
      hasAuthority: false,
      isAdmitted: false,
      isInSet: true,
      set: { voters: ["a", "b", "c"], index: 0, isCommitted: true },
      lastIndex: 0,
      leaderlessMs: 6_000,
      writingMs: 0,
      followers: undefined,
    });
    await driver.stop();
    fs.rmSync(testFolder, { recursive: true, force: true });
  });

  it("keeps every accepted command across stops under load and snapshots", async () => {
    await initializeDataFolder.initializeDataFolder({
      folder,
      owner: "a",
      wallMs: 1,
    });
    const accepted: string[] = [];
    for (let round = 0; round < 8; round += 1) {
      const machine = new listStateMachines.ListStateMachine();
      const driver = await openDriver(machine);
      await proposeWithRetry(driver, `first ${round}`);
      accepted.push(`first ${round}`);
      const burst = Array.from(
        { length: 30 },
        (_, index) => `${round}.${index}`,
      );
      const proposals = burst.map(async (command) => {
        const result = await driver.propose(command, 200);
        if (result.kind === "ok") accepted.push(command);
      });
      if (round % 2 === 0) await proposals[0];
      else await new Promise((resolve) => setImmediate(resolve));
      await driver.stop();
      await Promise.all(proposals);
    }
    const machine = new listStateMachines.ListStateMachine();
    const driver = await openDriver(machine);
    await proposeWithRetry(driver, "last");
    await driver.stop();
    chai.expect(machine.values).to.include.members(accepted);
    chai.expect(fatalErrors).to.deep.equal([]);
  });

  it("has no authority before its state machine has applied earlier commands", async () => {
    const testFolder = fs.mkdtempSync(
      path.join(os.tmpdir(), "hoistscale-authority-"),
    );
    await initializeDataFolder.initializeDataFolder({
      folder: testFolder,
      owner: "a",
      wallMs: 1,
    });
    let accepted = 0;
    for (let round = 0; round < 5; round += 1) {
      const machine = new listStateMachines.ListStateMachine();
      const driver = await openDriver(machine, testFolder);
      while (!driver.hasAuthority()) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      chai.expect(machine.values.length).to.equal(accepted);
      await proposeWithRetry(driver, `round ${round}`);
      accepted += 1;
      await driver.stop();
    }
    fs.rmSync(testFolder, { recursive: true, force: true });
  });
});
