import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as listMachines from "./list_machine_test.ts";
import * as makeDataFolder from "./make_data_folder.ts";
import * as openReplicas from "./_open_replica.ts";
import type * as notices from "./replica_notice.ts";
import * as replicaDrivers from "./replica_driver.ts";

describe("replica driver", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-driver-"));
  let fatal: readonly unknown[] = [];

  after(() => fs.rmSync(folder, { recursive: true, force: true }));

  function openDriver(
    machine: listMachines.ListMachine,
    dataFolder = folder,
  ): Promise<replicaDrivers.ReplicaDriver> {
    return replicaDrivers.ReplicaDriver.open({
      config: {
        id: "a",
        voters: ["a"],
        electionTimeoutMs: 50,
        heartbeatMs: 10,
        maxBatchEntries: 8,
        seed: 1,
      },
      clock: new clocks.SystemClock(),
      dataFolder,
      machine,
      snapshotEntries: 16,
      send: () => {},
      onFatal: (error) => {
        fatal = [...fatal, error];
      },
    });
  }

  async function proposeUntilDone(
    driver: replicaDrivers.ReplicaDriver,
    command: string,
  ): Promise<void> {
    for (;;) {
      const result = await driver.propose(command, 5_000);
      if (result.kind === "ok") return;
      await clocks.sleep(new clocks.SystemClock(), 10);
    }
  }

  it("does not lead from a folder that was not made for a first start", async () => {
    const empty = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-empty-"));
    const machine = new listMachines.ListMachine();
    const driver = await replicaDrivers.ReplicaDriver.open({
      config: {
        id: "a",
        voters: ["a"],
        electionTimeoutMs: 10,
        heartbeatMs: 5,
        maxBatchEntries: 8,
        seed: 1,
      },
      clock: new clocks.SystemClock(),
      dataFolder: empty,
      machine,
      snapshotEntries: 16,
      send: () => {},
      onFatal: () => {},
    });
    await clocks.sleep(new clocks.SystemClock(), 100);
    chai.expect(driver.getStatus().role).to.equal("follower");
    await driver.stop();
    fs.rmSync(empty, { recursive: true, force: true });
  });

  it("tells at its opening what its disk held, with the bytes that were cut off", async () => {
    const own = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-opened-"));
    await makeDataFolder.makeDataFolder({
      folder: own,
      owner: "a",
      wallMs: 5,
      voters: ["a", "b"],
    });
    fs.appendFileSync(path.join(own, "log.0"), Buffer.from([1, 2, 3]));
    const told: notices.ReplicaNotice[] = [];
    const { log } = await openReplicas.openReplica({
      config: {
        id: "a",
        voters: [],
        electionTimeoutMs: 50,
        heartbeatMs: 10,
        maxBatchEntries: 8,
        seed: 1,
      },
      clock: new clocks.FakeClock(),
      dataFolder: own,
      machine: new listMachines.ListMachine(),
      snapshotEntries: 16,
      send: () => {},
      onNotice: (notice) => told.push(notice),
      onFatal: () => {},
    });
    await log.close();
    chai.expect(told).to.deep.equal([{
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
    fs.rmSync(own, { recursive: true, force: true });
  });

  it("tells that it knows no leader, without waiting for a round", async () => {
    const own = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-alone-"));
    const clock = new clocks.FakeClock();
    const told: string[] = [];
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
      dataFolder: own,
      machine: new listMachines.ListMachine(),
      snapshotEntries: 16,
      send: () => {},
      onNotice: (notice) => told.push(notice.kind),
      onFatal: () => {},
    });
    clock.advance(6_000);
    chai.expect(told).to.deep.equal(
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
    fs.rmSync(own, { recursive: true, force: true });
  });

  it("keeps every accepted command over stops under load, with snapshots in between", async () => {
    await makeDataFolder.makeDataFolder({ folder, owner: "a", wallMs: 1 });
    const accepted: string[] = [];
    for (let round = 0; round < 8; round += 1) {
      const machine = new listMachines.ListMachine();
      const driver = await openDriver(machine);
      await proposeUntilDone(driver, `first ${round}`);
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
    const machine = new listMachines.ListMachine();
    const driver = await openDriver(machine);
    await proposeUntilDone(driver, "last");
    await driver.stop();
    chai.expect(machine.values).to.include.members(accepted);
    chai.expect(fatal).to.deep.equal([]);
  });

  it("has no authority before its machine holds what was accepted before", async () => {
    const own = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-authority-"));
    await makeDataFolder.makeDataFolder({ folder: own, owner: "a", wallMs: 1 });
    let accepted = 0;
    for (let round = 0; round < 5; round += 1) {
      const machine = new listMachines.ListMachine();
      const driver = await openDriver(machine, own);
      while (!driver.hasAuthority()) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      chai.expect(machine.values.length).to.equal(accepted);
      await proposeUntilDone(driver, `round ${round}`);
      accepted += 1;
      await driver.stop();
    }
    fs.rmSync(own, { recursive: true, force: true });
  });
});
