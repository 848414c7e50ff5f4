import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as listMachines from "./list_machine_test.ts";
import * as makeDataFolder from "./make_data_folder.ts";
import type * as messages from "./message.ts";
import * as replicaDrivers from "./replica_driver.ts";
import * as transfers from "./_snapshot_transfer.ts";

const SNAPSHOT: messages.Snapshot = {
  index: 9,
  term: 2,
  state: Array.from({ length: 23 }, (_, part) => `part ${part}`),
  voters: ["a"],
};

/** Sends a snapshot over links that lose messages; gives what arrived. */
function transfer(snapshot: messages.Snapshot, losses: readonly boolean[]) {
  const clock = new clocks.FakeClock();
  let sent: messages.DriverMessage[] = [];
  let first = 0;
  let most = 0;
  const sender = new transfers.SnapshotSender({
    clock,
    send: (_to, message) => sent.push(message),
    createSnapshot: () => snapshot,
  });
  const receiver = new transfers.SnapshotReceiver();
  const arrived: messages.SnapshotRequest[] = [];
  let turn = 0;
  for (let round = 0; round < 400 && arrived.length === 0; round += 1) {
    sender.send("b", 3);
    const batch = sent;
    sent = [];
    if (round === 0) first = batch.length;
    most = Math.max(most, batch.length);
    for (const message of batch) {
      turn += 1;
      if (message.kind !== "snapshotPart") continue;
      if (losses[turn % losses.length] === true) continue;
      const { reply, whole } = receiver.take(message);
      if (whole !== undefined) arrived.push(whole);
      if (losses[(turn * 7) % losses.length] !== true) {
        sender.takeReply("b", reply, 3);
      }
    }
    clock.advance(100);
  }
  return { arrived, first, most };
}

/** Makes one of two parts of a snapshot. */
function createPart(transferId: string, part: number): messages.SnapshotPart {
  return {
    kind: "snapshotPart",
    term: 3,
    transfer: transferId,
    part,
    parts: 2,
    values: [`${transferId}${part}`],
    head: { index: 9, term: 2 },
    sentAtMs: 0,
  };
}

describe("snapshots in parts", () => {
  it("arrive whole, and few parts are under way at a time", () => {
    const { arrived, first, most } = transfer(SNAPSHOT, [false]);
    chai.expect(arrived.map(({ snapshot }) => snapshot)).to.deep.equal([
      SNAPSHOT,
    ]);
    chai.expect(arrived[0]?.term).to.equal(3);
    chai.expect(first).to.be.at.most(4);
    chai.expect(most).to.be.at.most(16);
  });

  it("arrive whole though messages are lost", () => {
    const { arrived } = transfer(SNAPSHOT, [true, false, false, true, false]);
    chai.expect(arrived[0]?.snapshot).to.deep.equal(SNAPSHOT);
  });

  it("arrive where the state has no parts", () => {
    const { arrived } = transfer({ ...SNAPSHOT, state: [] }, [false]);
    chai.expect(arrived[0]?.snapshot.state).to.deep.equal([]);
  });

  it("leave parts of an earlier transfer out", () => {
    const receiver = new transfers.SnapshotReceiver();
    receiver.take(createPart("x", 0));
    chai.expect(receiver.take(createPart("y", 1)).reply.received).to.equal(0);
    receiver.take(createPart("y", 0));
    const { whole } = receiver.take(createPart("y", 1));
    chai.expect(whole?.snapshot.state).to.deep.equal(["y0", "y1"]);
  });
});

describe("a replica that needs a snapshot", () => {
  const TEXT = "x".repeat(20_000);
  const COMMANDS = 120;
  /** A message holds a batch of entries, or some parts, never the state. */
  const MOST_BYTES = 8 * TEXT.length * 1.1;
  const drivers = new Map<string, replicaDrivers.ReplicaDriver>();
  const folders: string[] = [];
  let largest = 0;

  after(async () => {
    for (const driver of drivers.values()) await driver.stop();
    for (const folder of folders) fs.rmSync(folder, { recursive: true });
  });

  async function open(
    id: string,
    isFounder: boolean,
  ): Promise<listMachines.ListMachine> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), `hoistscale-${id}-`));
    folders.push(folder);
    if (isFounder) {
      await makeDataFolder.makeDataFolder({
        folder,
        owner: id,
        wallMs: 1,
        voters: ["a"],
      });
    }
    const machine = new listMachines.ListMachine();
    const driver = await replicaDrivers.ReplicaDriver.open({
      config: {
        id,
        voters: [],
        electionTimeoutMs: 100,
        heartbeatMs: 10,
        maxBatchEntries: 8,
        seed: 1,
      },
      clock: new clocks.SystemClock(),
      dataFolder: folder,
      machine,
      snapshotEntries: 32,
      send: (to, message) => {
        const text = JSON.stringify(message);
        largest = Math.max(largest, text.length);
        setImmediate(() => drivers.get(to)?.receive(id, JSON.parse(text)));
      },
      onFatal: (error) => {
        throw error;
      },
    });
    drivers.set(id, driver);
    return machine;
  }

  it("gets it in parts while commands go on", async () => {
    const first = await open("a", true);
    const leader = drivers.get("a");
    for (let done = 0; done < COMMANDS;) {
      const result = await leader?.propose(`${done} ${TEXT}`, 5_000);
      if (result?.kind === "ok") done += 1;
      else await clocks.sleep(new clocks.SystemClock(), 5);
    }
    const second = await open("b", false);
    leader?.setLearners(["b"]);
    while (second.values.length < COMMANDS) {
      await leader?.propose("more", 5_000);
    }
    await clocks.sleep(new clocks.SystemClock(), 50);
    chai.expect(second.values.slice(0, COMMANDS)).to.deep.equal(
      first.values.slice(0, COMMANDS),
    );
    chai.expect(largest).to.be.at.most(MOST_BYTES);
  });
});
