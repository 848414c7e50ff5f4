import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as consensus from "../consensus/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as logs from "../log/mod.ts";
import * as metricTypes from "../metrics/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as notLeaders from "./not_leader.ts";
import * as replicaGroups from "./replica_group.ts";

const IDS = ["a", "b", "c"];
const COMMANDS = 40;
const POLL_MS = 20;
const METHOD = "stores.consensus";

type Handler = Parameters<rpc.MethodRegistry["add"]>[1];

/** A box with a replica, which keeps its log lines over restarts. */
class StoreBox {
  readonly lines: string[] = [];
  readonly folder: string;
  group: replicaGroups.ReplicaGroup | undefined;
  handlers = new Map<string, Handler>();

  constructor(readonly id: string, root: string) {
    this.folder = path.join(root, id);
  }

  /** Lines of an event, in order. */
  listLines(event: string): readonly string[] {
    return this.lines.filter((line) => line.includes(` event=${event} `));
  }
}

describe("a group that loses its voters", () => {
  const root = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-group-"));
  const clock = new clocks.SystemClock();
  const boxes = new Map(IDS.map((id) => [id, new StoreBox(id, root)]));

  after(async () => {
    for (const box of boxes.values()) await box.group?.stop();
    fs.rmSync(root, { recursive: true, force: true });
  });

  function getBox(id: string): StoreBox {
    const box = boxes.get(id);
    if (box === undefined) throw new Error(`no box ${id}`);
    return box;
  }

  function getPeer(id: string): rpc.Peer {
    return {
      notify: (method, params) => {
        const handle = getBox(id).handlers.get(method);
        setImmediate(() => handle?.(params as never));
      },
      call: () => Promise.reject(new Error("no calls here")),
    };
  }

  async function startBox(id: string): Promise<void> {
    const box = getBox(id);
    box.handlers = new Map();
    box.group = new replicaGroups.ReplicaGroup({
      name: "stores",
      id,
      failureDomain: id,
      dataFolder: box.folder,
      isFirstStart: false,
      maxVoters: IDS.length,
      minVoters: IDS.length,
      snapshotEntries: 4_096,
      seeds: [],
      clock,
      log: new logs.Log(id, "info", (line) => box.lines.push(line)),
      metrics: new metricTypes.FleetMetrics(),
      stateMachine: { apply: () => 0, save: () => [], restore: () => {} },
      directory: {
        listAlive: () => [],
        listAll: () => [],
      } as unknown as fleet.BoxDirectory,
      peers: { get: getPeer },
      server: { add: (method, handler) => box.handlers.set(method, handler) },
      canVote: () => true,
      listRetiring: () => [],
      onFatal: (error) => {
        throw error;
      },
    });
    await box.group.start();
  }

  async function stopBox(id: string): Promise<void> {
    const box = getBox(id);
    box.handlers.delete(METHOD);
    await box.group?.stop();
    box.group = undefined;
  }

  async function waitFor<T>(read: () => T | undefined): Promise<T> {
    for (;;) {
      const value = read();
      if (value !== undefined) return value;
      await clocks.sleep(clock, POLL_MS);
    }
  }

  function waitForLeader(): Promise<StoreBox> {
    return waitFor(() =>
      [...boxes.values()].find((box) => box.group?.hasAuthority() === true)
    );
  }

  /**
   * Takes a follower its disk, until one leader has fed it without losing the
   * lead meanwhile, and both have told it.
   */
  async function wipeFollower(): Promise<StoreBox> {
    for (;;) {
      const leader = await waitForLeader();
      const term = leader.group?.getLeadTerm();
      const [wiped] = [...boxes.values()].filter((box) => box !== leader);
      chai.assert(wiped !== undefined);
      const previousCount = wiped.listLines("replica.admitted").length;
      await stopBox(wiped.id);
      fs.rmSync(wiped.folder, { recursive: true, force: true });
      await startBox(wiped.id);
      const admitted = await waitFor(() =>
        wiped.listLines("replica.admitted")[previousCount]
      );
      const incarnation = /incarnation=(\d+)/.exec(admitted)?.[1];
      const admittedLine = `event=replica.followerAdmitted box=${leader.id} ` +
        `group=stores id=${wiped.id} incarnation=${incarnation} term=${term}`;
      const isLogged = await waitFor(() => {
        if (leader.lines.some((line) => line.includes(admittedLine))) {
          return true;
        }
        return leader.group?.getLeadTerm() === term ? undefined : false;
      });
      if (isLogged) return wiped;
    }
  }

  it("tells of an emptied voter until it counts, and then why none leads", async () => {
    for (const id of IDS) {
      await consensus.initializeDataFolder({
        folder: getBox(id).folder,
        owner: id,
        wallMs: 1,
        voters: IDS,
      });
      await startBox(id);
    }
    const leader = await waitForLeader();
    for (let index = 0; index < COMMANDS; index += 1) {
      await leader.group?.propose(`command ${index}`, 5_000);
    }
    const wiped = await wipeFollower();
    chai.expect(wiped.listLines("replica.opened").at(-1)).to.match(
      / isAdmitted=false .* voters="" setIndex=0 .* lastIndex=0 /,
    );

    for (const id of IDS) if (id !== wiped.id) await stopBox(id);
    const previousCount = wiped.listLines("replica.leaderless").length;
    const leaderlessLine = await waitFor(() =>
      wiped.listLines("replica.leaderless")[previousCount]
    );
    chai.expect(leaderlessLine).to.match(
      / level=warn .* isAdmitted=true .* voters=a,b,c setIndex=1 isSetCommitted=true /,
    );
    chai.expect(leaderlessLine).to.match(/ asked=\S+ writingMs=/);
    await waitFor(() => {
      const answer = wiped.group?.createNotLeader();
      if (answer === undefined) return undefined;
      const description = notLeaders.describeNotLeader(answer);
      return /^preCandidate:term\d+:since\d+ms:last\d+:voters3$/.exec(
        description,
      ) ??
        undefined;
    });
  });
});
