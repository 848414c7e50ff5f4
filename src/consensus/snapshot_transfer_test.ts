import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as listStateMachines from "./list_state_machine_test.ts";
import * as initializeDataFolder from "./initialize_data_folder.ts";
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
function transferSnapshot(
  snapshot: messages.Snapshot,
  lossPattern: readonly boolean[],
) {
  const clock = new clocks.FakeClock();
  let sent: messages.DriverMessage[] = [];
  let initialInFlight = 0;
  let maxInFlight = 0;
  const sender = new transfers.SnapshotSender({
    clock,
    send: (_to, message) => sent.push(message),
    createSnapshot: () => snapshot,
  });
  const receiver = new transfers.SnapshotReceiver();
  const arrived: messages.SnapshotRequest[] = [];
  let messageCount = 0;
  for (let round = 0; round < 400 && arrived.length === 0; round += 1) {
    sender.send("b", 3);
    const batch = sent;
    sent = [];
    if (round === 0) initialInFlight = batch.length;
    maxInFlight = Math.max(maxInFlight, batch.length);
    for (const message of batch) {
      messageCount += 1;
      if (message.kind !== "snapshotPart") continue;
      if (lossPattern[messageCount % lossPattern.length] === true) continue;
      const { reply, whole } = receiver.addPart(message);
      if (whole !== undefined) arrived.push(whole);
      if (lossPattern[(messageCount * 7) % lossPattern.length] !== true) {
        sender.handleReply("b", reply, 3);
      }
    }
    clock.advance(100);
  }
  return {
    arrived,
    initialInFlight: initialInFlight,
    maxInFlight: maxInFlight,
  };
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
    const {
      arrived,
      initialInFlight: initialInFlight,
      maxInFlight: maxInFlight,
    } = transferSnapshot(SNAPSHOT, [false]);
    chai.expect(arrived.map(({ snapshot }) => snapshot)).to.deep.equal([
      SNAPSHOT,
    ]);
    chai.expect(arrived[0]?.term).to.equal(3);
    chai.expect(initialInFlight).to.be.at.most(4);
    chai.expect(maxInFlight).to.be.at.most(16);
  });

  it("arrive whole though messages are lost", () => {
    const { arrived } = transferSnapshot(SNAPSHOT, [
      true,
      false,
      false,
      true,
      false,
    ]);
    chai.expect(arrived[0]?.snapshot).to.deep.equal(SNAPSHOT);
  });

  it("arrive where the state has no parts", () => {
    const { arrived } = transferSnapshot({ ...SNAPSHOT, state: [] }, [false]);
    chai.expect(arrived[0]?.snapshot.state).to.deep.equal([]);
  });

  it("leave parts of an earlier transfer out", () => {
    const receiver = new transfers.SnapshotReceiver();
    receiver.addPart(createPart("x", 0));
    chai.expect(receiver.addPart(createPart("y", 1)).reply.received).to.equal(
      0,
    );
    receiver.addPart(createPart("y", 0));
    const { whole } = receiver.addPart(createPart("y", 1));
    chai.expect(whole?.snapshot.state).to.deep.equal(["y0", "y1"]);
  });
});

describe("a replica that needs a snapshot", () => {
  const TEXT = "x".repeat(20_000);
  const COMMANDS = 120;
  /** A message holds a batch of entries, or some parts, never the state. */
  const MAX_MESSAGE_BYTES = 8 * TEXT.length * 1.1;
  const drivers = new Map<string, replicaDrivers.ReplicaDriver>();
  const folders: string[] = [];
  let largestMessage = 0;

  after(async () => {
    for (const driver of drivers.values()) await driver.stop();
    for (const folder of folders) fs.rmSync(folder, { recursive: true });
  });

  async function openReplica(
    id: string,
    isInitialVoter: boolean,
  ): Promise<listStateMachines.ListStateMachine> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), `hoistscale-${id}-`));
    folders.push(folder);
    if (isInitialVoter) {
      await initializeDataFolder.initializeDataFolder({
        folder,
        owner: id,
        wallMs: 1,
        voters: ["a"],
      });
    }
    const machine = new listStateMachines.ListStateMachine();
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
      stateMachine: machine,
      snapshotEntries: 32,
      send: (to, message) => {
        const text = JSON.stringify(message);
        largestMessage = Math.max(largestMessage, text.length);
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
    const first = await openReplica("a", true);
    const leader = drivers.get("a");
    for (let committed = 0; committed < COMMANDS;) {
      const result = await leader?.propose(`${committed} ${TEXT}`, 5_000);
      if (result?.kind === "ok") committed += 1;
      else await clocks.sleep(new clocks.SystemClock(), 5);
    }
    const second = await openReplica("b", false);
    leader?.setLearners(["b"]);
    while (second.values.length < COMMANDS) {
      await leader?.propose("more", 5_000);
    }
    await clocks.sleep(new clocks.SystemClock(), 50);
    chai.expect(second.values.slice(0, COMMANDS)).to.deep.equal(
      first.values.slice(0, COMMANDS),
    );
    chai.expect(largestMessage).to.be.at.most(MAX_MESSAGE_BYTES);
  });
});
