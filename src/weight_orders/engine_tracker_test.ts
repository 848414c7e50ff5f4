import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as results from "../results/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as engineTrackers from "./engine_tracker.ts";

/** The parts of a dialect that a probe uses. */
const DIALECT = {
  createReportRequest: (server: string) => ({
    method: "GET",
    target: "/state",
    headers: { server },
    body: undefined,
  }),
  parseAnswerHead: () => ({ requestId: undefined }),
  parseEngineReport: (body: Buffer) =>
    results.createOk(JSON.parse(String(body))),
} as unknown as dialects.Dialect;

/** Waits of 1 ms within which a probe must arrive. */
const MAX_WAITS = 500;

describe("engine tracker", () => {
  /** Start time that each engine reports. */
  let born: number | undefined;
  let states: Readonly<Record<string, boolean>> = {};
  let probed: readonly string[] = [];
  let clock = new clocks.FakeClock();
  let machine = new submissions.SubmissionStateMachine(() => {});
  let servers = new registry.ServerRegistry(clock, 1_000);
  let discoveries = 0;
  let tracker: engineTrackers.EngineTracker | undefined;
  let term = 1;

  const engine = http.createServer((request, response) => {
    const id = String(request.headers["server"]);
    probed = [...probed, id];
    if (states[id] === undefined) {
      response.writeHead(421).end();
      return;
    }
    response.end(JSON.stringify({
      models: [{ name: "m", version: 7 }],
      isBusy: false,
      born,
      isLeaving: states[id],
      orders: 0,
    }));
  });

  before((done) => {
    engine.listen(0, "127.0.0.1", done);
  });

  after(() => {
    engine.closeAllConnections();
    engine.close();
  });

  beforeEach(() => {
    probed = [];
    born = undefined;
    discoveries = 0;
    term = 1;
    clock = new clocks.FakeClock();
    machine = new submissions.SubmissionStateMachine(() => {});
    servers = new registry.ServerRegistry(clock, 1_000);
    tracker = new engineTrackers.EngineTracker({
      clock,
      log: new logs.Log("box", "error", () => {}),
      dialect: DIALECT,
      servers,
      group: {
        hasAuthority: () => true,
        getTerm: () => term,
        propose: <T>(command: unknown) =>
          Promise.resolve(results.createOk(machine.apply(command) as T)),
      },
      machine,
      refusedReports: { record: () => {} },
      isService: (name) => name !== "unnamed",
      onDiscovered: () => {
        discoveries += 1;
      },
    });
  });

  afterEach(() => tracker?.stop());

  function createEngine(id: string): registry.RegisteredServer {
    const { port } = engine.address() as net.AddressInfo;
    const models = [{ name: "m", version: 1 }];
    return serverFixtures.createServer(id, { port, models });
  }

  async function awaitProbes(count: number): Promise<void> {
    for (
      let attempt = 0;
      attempt < MAX_WAITS && probed.length < count;
      attempt += 1
    ) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    for (let attempt = 0; attempt < 20; attempt += 1) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }

  function listRecorded(): readonly string[] {
    return machine.listEngines().map((kept) => kept.id);
  }

  function listBorn(): readonly (number | undefined)[] {
    return machine.listEngines().map((kept) => kept.born);
  }

  it("registers recorded engines that report ready, before a heartbeat", async () => {
    states = { ready: false, leaving: true };
    machine.apply({
      kind: "keepEngines",
      added: ["ready", "leaving", "gone"].map(createEngine),
      gone: [],
    });
    tracker?.start();
    await awaitProbes(3);
    const ready = servers.listReady("lm");
    chai.expect(ready.map(({ id }) => id)).to.deep.equal(["ready"]);
    chai.expect(ready[0]?.models).to.deep.equal([{ name: "m", version: 7 }]);
    chai.expect(discoveries).to.equal(1);
  });

  it("probes only unregistered engines, once a term", async () => {
    states = { registered: false, recorded: false };
    const added = ["registered", "recorded"].map(createEngine);
    machine.apply({ kind: "keepEngines", added, gone: [] });
    servers.merge(createEngine("registered"));
    tracker?.start();
    await awaitProbes(1);
    clock.advance(100);
    await awaitProbes(1);
    chai.expect(probed).to.deep.equal(["recorded"]);
  });

  it("records the newer process of an engine and never an older one", async () => {
    // Otherwise the leader after a failover would probe for a process that no
    // longer exists, and take the response of the newer one for its own.
    states = { a: false };
    servers.merge({ ...createEngine("a"), born: 1_000 });
    tracker?.start();
    chai.expect(listBorn()).to.deep.equal([1_000]);
    servers.merge({ ...createEngine("a"), born: 2_000, sequence: 0 });
    await Promise.resolve();
    clock.advance(100);
    chai.expect(listBorn()).to.deep.equal([2_000]);
    const added = [{ ...createEngine("a"), born: 1_000 }];
    machine.apply({ kind: "keepEngines", added, gone: [] });
    chai.expect(listBorn()).to.deep.equal([2_000]);
  });

  it("registers the newer process of a recorded engine that has restarted", async () => {
    states = { a: false };
    born = 2_000;
    const added = [{ ...createEngine("a"), born: 1_000, sequence: 70 }];
    machine.apply({ kind: "keepEngines", added, gone: [] });
    tracker?.start();
    await awaitProbes(1);
    chai.expect(servers.get("a")?.born).to.equal(2_000);
    chai.expect(servers.merge({ ...createEngine("a"), born: 2_000 })).to.not
      .equal("old");
  });

  it("records no server of a service that the configuration does not name", () => {
    servers.merge({ ...createEngine("a"), service: "unnamed" });
    tracker?.start();
    chai.expect(listRecorded()).to.deep.equal([]);
  });

  it("records new engines and removes those that are gone", () => {
    states = {};
    servers.merge(createEngine("a"));
    servers.merge(createEngine("b"));
    servers.merge(serverFixtures.createServer("plain"));
    tracker?.start();
    chai.expect(listRecorded()).to.deep.equal(["a", "b"]);
    servers.markGone({ id: "a", born: undefined });
    clock.advance(300);
    return Promise.resolve().then(() => {
      clock.advance(100);
      chai.expect(listRecorded()).to.deep.equal(["b"]);
    });
  });
});
