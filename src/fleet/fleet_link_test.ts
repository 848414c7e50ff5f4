import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as results from "../results/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import * as boxDirectories from "./box_directory.ts";
import type * as boxRecords from "./box_record.ts";
import * as fleetLinks from "./fleet_link.ts";
import * as news from "./news.ts";
import * as syncDesks from "./_sync_desk.ts";

const HEARTBEAT_MS = 1_200;
const STEP_MS = 20;

type Handler = (params: unknown) => unknown;

/** Boxes in one process, whose links can be cut. */
class FakeFleet {
  readonly clock = new clocks.FakeClock(1_000);
  readonly #methods = new Map<string, Map<string, Handler>>();
  readonly #down = new Set<string>();
  /** Groups that hear nothing of each other; empty for no cut. */
  groups: readonly (readonly string[])[] = [];
  /** Single links that bring nothing, as `FROM>TO`. */
  cutLinks: ReadonlySet<string> = new Set();
  readonly boxes = new Map<string, FakeBox>();
  #delivered = 0;

  start(id: string, isCore: boolean): FakeBox {
    this.#down.delete(id);
    const methods = new Map<string, Handler>();
    this.#methods.set(id, methods);
    const box = new FakeBox(this, id, isCore, methods);
    this.boxes.set(id, box);
    box.link.start();
    return box;
  }

  /** Messages and calls delivered so far. */
  countDelivered(): number {
    return this.#delivered;
  }

  kill(id: string): void {
    this.boxes.get(id)?.link.stop();
    this.boxes.delete(id);
    this.#down.add(id);
  }

  getPeer(to: string, from = to): rpc.Peer {
    return {
      tell: (method, params) => {
        if (this.#canReach(from, to)) this.#deliver(to, method, params);
      },
      call: async (method, params) => {
        if (!this.#canReach(from, to)) throw new Error(`${to} is cut off`);
        return await this.#deliver(to, method, params);
      },
    };
  }

  #canReach(from: string, to: string): boolean {
    if (this.#down.has(to) || !this.#methods.has(to)) return false;
    if (this.cutLinks.has(`${from}>${to}`)) return false;
    const group = this.groups.find((ids) => ids.includes(from));
    return group === undefined || group.includes(to);
  }

  #deliver(to: string, method: string, params: object) {
    const handler = this.#methods.get(to)?.get(method);
    if (this.#down.has(to) || handler === undefined) {
      throw new Error(`${to} is down`);
    }
    this.#delivered += 1;
    const copy = JSON.parse(JSON.stringify(params));
    return JSON.parse(JSON.stringify(handler(copy) ?? null));
  }

  /** Lets time pass, with all that is waited for in between. */
  async extendBy(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.extendBy(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

class FakeBox {
  readonly servers: registry.ServerRegistry;
  readonly directory: boxDirectories.BoxDirectory;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly link: fleetLinks.FleetLink;
  isLeaving = false;

  constructor(
    fleet: FakeFleet,
    id: string,
    isCore: boolean,
    methods: Map<string, Handler>,
  ) {
    const { clock } = fleet;
    const log = new logs.Log(id, "error", () => {});
    const startedAtMs = clock.getWallMs();
    this.servers = new registry.ServerRegistry(clock, HEARTBEAT_MS);
    this.directory = new boxDirectories.BoxDirectory(clock);
    this.configuration = new trafficConfig.ConfigurationHolder(
      () => results.createOk({ routes: [] } as never),
      log,
    );
    this.link = new fleetLinks.FleetLink({
      clock,
      log,
      directory: this.directory,
      servers: this.servers,
      configuration: this.configuration,
      peers: { get: (to) => fleet.getPeer(to, id) },
      server: {
        add: (method, handler) => methods.set(method, handler as Handler),
      },
      seeds: ["c1", "c2", "c3"],
      describeSelf: (): Omit<boxRecords.BoxRecord, "sequence"> => ({
        id,
        name: id,
        failureDomain: id,
        region: "r",
        peerPort: 1,
        callerAddress: `${id}:1`,
        isCore,
        isStore: false,
        isReady: true,
        isLeaving: this.isLeaving,
        ledTerm: 0,
        startedAtMs,
      }),
    });
  }

  /** Takes a heartbeat as an entry box does. */
  takeHeartbeat(report: registry.RegisteredServer): void {
    const outcome = this.servers.merge(report);
    const merged = this.servers.get(report.id) ?? report;
    if (outcome === "changed") this.link.publishServer(merged);
    if (outcome === "refreshed") this.link.refreshServer(merged);
  }

  listIds(): readonly string[] {
    return this.servers.listReady("s").map((server) => server.id).toSorted();
  }
}

function createReport(id: string, sequence: number): registry.RegisteredServer {
  return serverFixtures.createServer(id, { service: "s", sequence });
}

const CORE = ["c1", "c2", "c3"];
const ALL = [...CORE, "p1", "p2"];

describe("fleet link", () => {
  let fleet = new FakeFleet();

  beforeEach(async () => {
    fleet = new FakeFleet();
    for (const id of ALL) fleet.start(id, CORE.includes(id));
    await fleet.extendBy(2_000);
  });

  it("finds every box from the seeds", () => {
    for (const box of fleet.boxes.values()) {
      const found = box.directory.listAlive().map((record) => record.id);
      chai.expect(found.toSorted()).to.deep.equal(ALL);
    }
  });

  it("keeps every server known everywhere, whichever box takes its heartbeats", async () => {
    for (let round = 1; round <= 10; round += 1) {
      for (const id of ALL) {
        fleet.boxes.get(id)?.takeHeartbeat(createReport(`s-${id}`, round));
      }
      await fleet.extendBy(HEARTBEAT_MS);
    }
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listIds()).to.deep.equal(ALL.map((id) => `s-${id}`));
    }
  });

  it("tells all that a server leaves before the call of the server returns", () => {
    const report = createReport("s-1", 1);
    fleet.boxes.get("p1")?.takeHeartbeat(report);
    fleet.boxes.get("p2")?.takeHeartbeat({
      ...report,
      sequence: 2,
      phase: "draining",
    });
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listIds()).to.deep.equal([]);
    }
  });

  it("brings core boxes that lost everything up to date from plain boxes", async () => {
    for (let round = 1; round <= 6; round += 1) {
      if (round === 3) {
        for (const id of CORE) fleet.kill(id);
        for (const id of CORE) fleet.start(id, true);
      }
      fleet.boxes.get("p1")?.takeHeartbeat(createReport("s-1", round));
      await fleet.extendBy(HEARTBEAT_MS);
    }
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listIds()).to.deep.equal(["s-1"]);
    }
  });

  it("does not let a refresh hide that a server leaves", async () => {
    const report = createReport("s-1", 1);
    fleet.boxes.get("p1")?.takeHeartbeat(report);
    await fleet.extendBy(HEARTBEAT_MS);
    for (const id of CORE) fleet.kill(id);
    const draining = { ...report, phase: "draining" } as const;
    fleet.boxes.get("p1")?.takeHeartbeat({ ...draining, sequence: 2 });
    for (const id of CORE) fleet.start(id, true);
    // A box that still takes the server for ready syncs with the core first.
    await fleet.extendBy(100);
    fleet.boxes.get("p1")?.takeHeartbeat({ ...draining, sequence: 3 });
    await fleet.extendBy(HEARTBEAT_MS);
    for (const box of fleet.boxes.values()) {
      chai.expect(box.listIds()).to.deep.equal([]);
    }
  });

  it("tells each box of a change about once, however many core boxes there are", async () => {
    const many = new FakeFleet();
    const core = ["c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"];
    const plain = Array.from({ length: 32 }, (_, index) => `p${index + 1}`);
    for (const id of [...core, ...plain]) many.start(id, core.includes(id));
    await many.extendBy(4_000);
    const startMessages = many.countDelivered();
    await many.extendBy(1_000);
    const idle = many.countDelivered() - startMessages;
    for (const [index, id] of plain.entries()) {
      const report = createReport(`s-${index}`, 1);
      many.boxes.get(id)?.takeHeartbeat(report);
    }
    await many.extendBy(1_000);
    const changes = many.countDelivered() - startMessages - 2 * idle;
    for (const box of many.boxes.values()) {
      chai.expect(box.listIds().length).to.equal(plain.length);
    }
    // 32 changes told to 8 core boxes each, then gathered: some messages to
    // each of 40 boxes. Each core box telling all boxes would be 10,240.
    chai.expect(changes).to.be.lessThan(32 * 8 + 40 * 8);
  });

  it("joins two groups that found each other late, each with core boxes of its own", async () => {
    const late = new FakeFleet();
    const ids = ["c1", "c2", "p1", "c3", "c4", "p2"];
    late.groups = [["c1", "c2", "p1"], ["c3", "c4", "p2"]];
    for (const id of ids) late.start(id, id.startsWith("c"));
    await late.extendBy(4_000);
    late.groups = [];
    await late.extendBy(4_000);
    for (const box of late.boxes.values()) {
      const found = box.directory.listAlive().map((record) => record.id);
      chai.expect(found.toSorted()).to.deep.equal(ids.toSorted());
    }
  });

  it("repeats nothing to a box that knows the same", async () => {
    const first = fleet.boxes.get("c1");
    first?.takeHeartbeat(createReport("s-1", 1));
    first?.configuration.offer({ version: 7, text: "seven" });
    first?.link.publishConfiguration();
    await fleet.extendBy(1_000);
    const asker = fleet.boxes.get("p1");
    const record = asker?.directory.get("p1");
    if (asker === undefined || record === undefined) {
      throw new Error("there is no box p1");
    }
    const desk = new syncDesks.SyncDesk({ ...asker, getOwn: () => record });
    const reply = await fleet.getPeer("c1").call<news.SyncReply>(
      news.METHODS.sync,
      desk.createRequest(),
      1_000,
    );
    chai.expect(reply.boxes).to.deep.equal([]);
    chai.expect(reply.servers).to.deep.equal([]);
    chai.expect(reply.configuration).to.equal(undefined);
  });

  it("brings a configuration to every box, also to one that starts late", async () => {
    const first = fleet.boxes.get("c1");
    first?.configuration.offer({ version: 7, text: "seven" });
    first?.link.publishConfiguration();
    await fleet.extendBy(200);
    fleet.start("p3", false);
    await fleet.extendBy(1_000);
    for (const box of fleet.boxes.values()) {
      chai.expect(box.configuration.getVersion()).to.equal(7);
    }
  });

  it("keeps a box known to a core box that it can't reach, through the others", async () => {
    const plain = fleet.boxes.get("p1");
    const core = fleet.boxes.get("c2");
    fleet.cutLinks = new Set(["p1>c2", "c2>p1"]);
    for (let round = 1; round <= 8; round += 1) {
      plain?.takeHeartbeat(createReport("s-1", round));
      for (let passed = 0; passed < HEARTBEAT_MS; passed += 100) {
        await fleet.extendBy(100);
        const alive = core?.directory.listAlive().map((box) => box.id);
        chai.expect(alive).to.include("p1");
      }
      chai.expect(core?.listIds()).to.deep.equal(["s-1"]);
    }
  });

  it("tells of a leaving box at once, and of a dead one within two seconds", async () => {
    const leaving = fleet.boxes.get("p1");
    if (leaving === undefined) throw new Error("there is no box p1");
    leaving.isLeaving = true;
    leaving.link.publishSelf();
    fleet.kill("c2");
    await fleet.extendBy(2_000);
    const [box] = [...fleet.boxes.values()].filter((other) =>
      other !== leaving
    );
    const alive = box?.directory.listAlive() ?? [];
    chai.expect(alive.find((record) => record.id === "p1")?.isLeaving).to.equal(
      true,
    );
    chai.expect(alive.some((record) => record.id === "c2")).to.equal(false);
  });
});
