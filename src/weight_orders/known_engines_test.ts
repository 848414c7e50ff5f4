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
import * as knownEngines from "./known_engines.ts";

/** The parts of a dialect that asking for a state uses. */
const DIALECT = {
  createReportRequest: (server: string) => ({
    method: "GET",
    target: "/state",
    headers: { server },
    body: undefined,
  }),
  parseEngineReport: (body: Buffer) =>
    results.createOk(JSON.parse(String(body))),
} as unknown as dialects.Dialect;

/** Turns of 1 ms in which an answer must come. */
const MAX_TURNS = 500;

describe("known engines", () => {
  /** Start that each engine tells. */
  let born: number | undefined;
  let states: Readonly<Record<string, boolean>> = {};
  let asked: readonly string[] = [];
  let clock = new clocks.FakeClock();
  let machine = new submissions.SubmissionMachine(() => {});
  let servers = new registry.ServerRegistry(clock, 1_000);
  let found = 0;
  let known: knownEngines.KnownEngines | undefined;
  let term = 1;

  const engine = http.createServer((request, response) => {
    const id = String(request.headers["server"]);
    asked = [...asked, id];
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
    asked = [];
    born = undefined;
    found = 0;
    term = 1;
    clock = new clocks.FakeClock();
    machine = new submissions.SubmissionMachine(() => {});
    servers = new registry.ServerRegistry(clock, 1_000);
    known = new knownEngines.KnownEngines({
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
      onFound: () => {
        found += 1;
      },
    });
  });

  afterEach(() => known?.stop());

  function createEngine(id: string): registry.RegisteredServer {
    const { port } = engine.address() as net.AddressInfo;
    const models = [{ name: "m", version: 1 }];
    return serverFixtures.createServer(id, { port, models });
  }

  async function awaitAsked(count: number): Promise<void> {
    for (let turn = 0; turn < MAX_TURNS && asked.length < count; turn += 1) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    for (let turn = 0; turn < 20; turn += 1) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }

  function listKept(): readonly string[] {
    return machine.listEngines().map((kept) => kept.id);
  }

  function listBorn(): readonly (number | undefined)[] {
    return machine.listEngines().map((kept) => kept.born);
  }

  it("takes work to kept engines that say they are ready, before a heartbeat", async () => {
    states = { sound: false, leaving: true };
    machine.apply({
      kind: "keepEngines",
      added: ["sound", "leaving", "gone"].map(createEngine),
      gone: [],
    });
    known?.start();
    await awaitAsked(3);
    const ready = servers.listReady("lm");
    chai.expect(ready.map(({ id }) => id)).to.deep.equal(["sound"]);
    chai.expect(ready[0]?.models).to.deep.equal([{ name: "m", version: 7 }]);
    chai.expect(found).to.equal(1);
  });

  it("asks none that was heard, and asks once a term", async () => {
    states = { heard: false, kept: false };
    const added = ["heard", "kept"].map(createEngine);
    machine.apply({ kind: "keepEngines", added, gone: [] });
    servers.merge(createEngine("heard"));
    known?.start();
    await awaitAsked(1);
    clock.extendBy(100);
    await awaitAsked(1);
    chai.expect(asked).to.deep.equal(["kept"]);
  });

  it("keeps the later start of an engine, and asks none for a former one", async () => {
    // Leaders kept the first start they heard of: after a failover the new
    // leader asked for a start that was gone, and took what answered for it.
    states = { a: false };
    servers.merge({ ...createEngine("a"), born: 1_000 });
    known?.start();
    chai.expect(listBorn()).to.deep.equal([1_000]);
    servers.merge({ ...createEngine("a"), born: 2_000, sequence: 0 });
    await Promise.resolve();
    clock.extendBy(100);
    chai.expect(listBorn()).to.deep.equal([2_000]);
    const added = [{ ...createEngine("a"), born: 1_000 }];
    machine.apply({ kind: "keepEngines", added, gone: [] });
    chai.expect(listBorn()).to.deep.equal([2_000]);
  });

  it("takes a kept engine that has started again for its later start", async () => {
    states = { a: false };
    born = 2_000;
    const added = [{ ...createEngine("a"), born: 1_000, sequence: 70 }];
    machine.apply({ kind: "keepEngines", added, gone: [] });
    known?.start();
    await awaitAsked(1);
    chai.expect(servers.get("a")?.born).to.equal(2_000);
    chai.expect(servers.merge({ ...createEngine("a"), born: 2_000 })).to.not
      .equal("old");
  });

  it("keeps no server of a service that no configuration names", () => {
    servers.merge({ ...createEngine("a"), service: "unnamed" });
    known?.start();
    chai.expect(listKept()).to.deep.equal([]);
  });

  it("keeps engines that come, and forgets those that leave or stay silent", () => {
    states = {};
    servers.merge(createEngine("a"));
    servers.merge(createEngine("b"));
    servers.merge(serverFixtures.createServer("plain"));
    known?.start();
    chai.expect(listKept()).to.deep.equal(["a", "b"]);
    servers.markGone({ id: "a", born: undefined });
    clock.extendBy(300);
    return Promise.resolve().then(() => {
      clock.extendBy(100);
      chai.expect(listKept()).to.deep.equal(["b"]);
    });
  });
});
