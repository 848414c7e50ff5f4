import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as dispatch from "../dispatch/mod.ts";
import type * as duties from "../duty/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as registry from "../registry/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as dialectFixtures from "./dialect_fixture_test.ts";
import * as weightOrderSchedulers from "./weight_order_scheduler.ts";

/** Waits of 1 ms or more within which a condition must hold. */
const MAX_WAITS = 1_500;
/** Time by which the fake clock advances per wait, in ms. */
const STEP_MS = 20;

describe("weight orders after an engine restart", () => {
  // A restarted engine has the same id but holds its initial version again.
  // State of the old process must not count for the new one: the load would not
  // be ordered again, and the engine would refuse the runs of the step.
  let clock = new clocks.FakeClock();
  let servers = new registry.ServerRegistry(clock, 60_000);
  let engines = new dispatch.EngineTable(clock);
  let orders: dialects.VersionOrder[] = [];
  let scheduler: weightOrderSchedulers.WeightOrderScheduler | undefined;
  let state = { born: 1_000, version: 1, orders: 0 };
  /** Whether an accepted order changes the reported version at once. */
  let loadsImmediately = true;

  const engine = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      if (request.method === "POST") {
        const order = JSON.parse(Buffer.concat(chunks).toString());
        orders.push(order);
        const version = loadsImmediately ? order.version : state.version;
        state = { ...state, version, orders: state.orders + 1 };
        response.writeHead(202);
        return void response.end(JSON.stringify({ born: state.born }));
      }
      response.end(JSON.stringify({
        born: state.born,
        models: [{ name: "m", version: state.version }],
        isBusy: false,
        isLeaving: false,
        orders: state.orders,
        running: 0,
        waiting: 0,
      }));
    });
  });

  before((done) => {
    engine.listen(0, "127.0.0.1", done);
  });

  after(() => {
    engine.closeAllConnections();
    engine.close();
  });

  beforeEach(() => {
    orders = [];
    state = { born: 1_000, version: 1, orders: 0 };
    loadsImmediately = true;
    clock = new clocks.FakeClock();
    servers = new registry.ServerRegistry(clock, 60_000);
    engines = new dispatch.EngineTable(clock);
    const machine = new submissions.SubmissionStateMachine(() => {});
    machine.apply({ kind: "nameVersion", model: "m", version: 2 });
    scheduler = new weightOrderSchedulers.WeightOrderScheduler({
      clock,
      log: new logs.Log("box", "error", () => {}),
      metrics: { countOrder: () => {} } as unknown as metrics.FleetMetrics,
      dialect: dialectFixtures.DIALECT,
      servers,
      duty: {
        canAct: () => true,
        getName: () => "box",
        getFence: () => 1,
      } as unknown as duties.DutyLease,
      machine,
      engines,
      refusedReports: { record: () => {} },
      isService: () => true,
      onLoading: () => {},
      onLoaded: () => {},
    });
    servers.merge(createProcess(1_000));
    scheduler.start();
  });

  afterEach(() => scheduler?.stop());

  function createProcess(born: number): registry.RegisteredServer {
    const { port } = engine.address() as net.AddressInfo;
    const models = [{ name: "m", version: 1 }];
    return serverFixtures.createServer("e-1", { port, models, born });
  }

  /** Advances the clock until a condition holds; returns the time in ms. */
  async function waitUntil(isDone: () => boolean): Promise<number> {
    const startMs = clock.getMonotonicMs();
    for (let attempt = 0; attempt < MAX_WAITS && !isDone(); attempt += 1) {
      clock.advance(STEP_MS);
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    return clock.getMonotonicMs() - startMs;
  }

  function getVersion(): number {
    return engines.getVersion(servers.get("e-1")!, "m");
  }

  it("repeats a load that the old process had completed", async () => {
    await waitUntil(() => getVersion() === 2);
    chai.expect(orders).to.have.length(1);
    state = { born: 2_000, version: 1, orders: 0 };
    servers.merge(createProcess(2_000));
    chai.expect(getVersion()).to.equal(1);
    await waitUntil(() => getVersion() === 2);
    chai.expect(orders.map((order) => order.expectedOrderCount)).to.deep.equal([
      0,
      0,
    ]);
  });

  it("repeats at once a load that the old process had only accepted", async () => {
    loadsImmediately = false;
    await waitUntil(() => orders.length === 1);
    loadsImmediately = true;
    state = { born: 2_000, version: 1, orders: 0 };
    servers.merge(createProcess(2_000));
    const tookMs = await waitUntil(() => orders.length === 2);
    chai.expect(tookMs).to.be.lessThan(1_000);
    await waitUntil(() => getVersion() === 2);
    chai.expect(orders).to.have.length(2);
  });

  it("detects the new process by its report, before a heartbeat", async () => {
    loadsImmediately = false;
    await waitUntil(() => orders.length === 1);
    loadsImmediately = true;
    state = { born: 2_000, version: 1, orders: 0 };
    await waitUntil(() => servers.get("e-1")?.born === 2_000);
    await waitUntil(() => getVersion() === 2);
    chai.expect(engines.getVersion(createProcess(1_000), "m")).to.equal(1);
    chai.expect(orders).to.have.length(2);
    servers.merge({ ...createProcess(1_000), sequence: 99 });
    chai.expect(servers.get("e-1")?.born).to.equal(2_000);
  });
});
