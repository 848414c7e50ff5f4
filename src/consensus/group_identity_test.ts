import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as initializeDataFolder from "./initialize_data_folder.ts";
import * as listStateMachines from "./list_state_machine_test.ts";
import type * as notices from "./replica_notice.ts";
import * as replicaDrivers from "./replica_driver.ts";

const POLL_MS = 10;
/** Several election timeouts, in ms. */
const WATCH_MS = 500;

/** Replicas on one box each, which pass messages on at once. */
class ConnectedReplicas {
  readonly clock = new clocks.SystemClock();
  readonly drivers = new Map<string, replicaDrivers.ReplicaDriver>();
  readonly notices: notices.ReplicaNotice[] = [];
  readonly #folder = fs.mkdtempSync(
    path.join(os.tmpdir(), "hoistscale-identity-"),
  );

  /** Initializes a data folder; `groupId` is undefined for those of old builds. */
  async initialize(
    owner: string,
    voters: readonly string[],
    groupId: string | undefined,
  ): Promise<void> {
    const folder = this.#getFolder(owner);
    const wallMs = this.clock.getWallMs();
    await initializeDataFolder.initializeDataFolder({
      folder,
      owner,
      wallMs,
      voters,
      ...(groupId === undefined ? {} : { groupId }),
    });
  }

  async open(id: string): Promise<replicaDrivers.ReplicaDriver> {
    const driver = await replicaDrivers.ReplicaDriver.open({
      config: {
        id,
        voters: [],
        electionTimeoutMs: 60,
        heartbeatMs: 15,
        maxBatchEntries: 8,
        seed: id.charCodeAt(0),
      },
      clock: this.clock,
      dataFolder: this.#getFolder(id),
      stateMachine: new listStateMachines.ListStateMachine(),
      snapshotEntries: 64,
      send: (to, message) =>
        this.drivers.get(to)?.receive(id, message, driver.getGroupId()),
      onNotice: (notice) => this.notices.push(notice),
      onFatal: (error) => {
        throw error;
      },
    });
    this.drivers.set(id, driver);
    return driver;
  }

  async waitUntil(isReached: () => boolean): Promise<void> {
    while (!isReached()) await clocks.sleep(this.clock, POLL_MS);
  }

  async stop(): Promise<void> {
    for (const driver of this.drivers.values()) await driver.stop();
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }

  #getFolder(id: string): string {
    const folder = path.join(this.#folder, id);
    fs.mkdirSync(folder, { recursive: true });
    return folder;
  }
}

describe("identity of a replica group", () => {
  let replicas = new ConnectedReplicas();

  beforeEach(() => {
    replicas = new ConnectedReplicas();
  });

  afterEach(() => replicas.stop());

  async function awaitLeader(...ids: readonly string[]): Promise<string> {
    const drivers = ids.map((id) => replicas.drivers.get(id));
    await replicas.waitUntil(() =>
      drivers.some((driver) => driver?.hasAuthority() === true)
    );
    const at = drivers.findIndex((driver) => driver?.hasAuthority() === true);
    return ids[at] ?? "";
  }

  // Guards against two groups whose logs mix: a replica of one group that follows
  // the other one's leader, and takes its entries for those of its own log.
  it("keeps the messages of another group out", async () => {
    await replicas.initialize("a", ["a"], "one");
    for (const id of ["b", "c"]) {
      await replicas.initialize(id, ["b", "c"], "two");
    }
    for (const id of ["a", "b", "c"]) await replicas.open(id);
    const leader = await awaitLeader("b", "c");
    replicas.drivers.get(leader)?.setLearners(["a"]);
    await replicas.waitUntil(() =>
      replicas.notices.some((notice) => notice.kind === "foreignGroup")
    );
    await clocks.sleep(replicas.clock, WATCH_MS);
    const alone = replicas.drivers.get("a");
    chai.expect(alone?.getLeader()).to.equal("a");
    chai.expect(alone?.listVoters()).to.deep.equal(["a"]);
    chai.expect(replicas.drivers.get("b")?.listVoters()).to.deep.equal([
      "b",
      "c",
    ]);
    const told = replicas.notices.filter(({ kind }) => kind === "foreignGroup");
    chai.expect(told).to.deep.include({
      kind: "foreignGroup",
      from: leader,
      groupId: "one",
      foreignGroupId: "two",
    });
    chai.expect(told.length).to.be.at.most(4);
  });

  it("gives an empty replica the identity of the group that it joins", async () => {
    for (const id of ["b", "c"]) {
      await replicas.initialize(id, ["b", "c"], "two");
    }
    for (const id of ["b", "c", "d"]) await replicas.open(id);
    const joining = replicas.drivers.get("d");
    chai.expect(joining?.getGroupId()).to.equal(undefined);
    const leader = await awaitLeader("b", "c");
    replicas.drivers.get(leader)?.setLearners(["d"]);
    await replicas.waitUntil(() => joining?.getGroupId() === "two");
    await joining?.stop();
    const reopened = await replicas.open("d");
    chai.expect(reopened.getGroupId()).to.equal("two");
  });

  // Guards against a fleet of two builds, of which one tells no identity, that
  // ends as two halves.
  it("takes messages without an identity", async () => {
    await replicas.initialize("b", ["b", "c"], "two");
    await replicas.initialize("c", ["b", "c"], undefined);
    await replicas.open("b");
    await replicas.open("c");
    const leader = await awaitLeader("b", "c");
    chai.expect(["b", "c"]).to.include(leader);
  });
});
