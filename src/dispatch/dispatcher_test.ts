import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as itemFixtures from "../submission/item_fixture_test.ts";
import * as submissionFixtures from "../submission/submission_fixture_test.ts";
import * as submissions from "../submission/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import * as dispatchers from "./dispatcher.ts";
import * as engineTables from "./engine_table.ts";

/** Stub of the dialect methods that a run uses. */
const DIALECT = {
  versionField: "version",
  createForwardHeaders: (
    headers: dialects.HeaderMap,
    marks: dialects.ForwardMetadata,
  ) => ({ ...headers, id: marks.requestId }),
  parseAnswerHead: (headers: dialects.HeaderMap) => ({
    requestId: headers["id"],
    receipt: undefined,
    isNotRun: false,
    load: undefined,
    weightVersion: 1,
  }),
} as unknown as dialects.Dialect;

const METRICS = {
  countItemRun: () => {},
  recordItem: () => {},
  setPlannedGroups: () => {},
} as unknown as metrics.FleetMetrics;

const SUBMISSION = submissionFixtures.createSubmission("s-1", [
  itemFixtures.createItem("item-1", { tokens: 10 }),
]);

/** Maximum polls, 1 ms apart, until a finished run's result is recorded. */
const MAX_POLLS = 500;

/** A single-replica group whose role and quorum are set by the test. */
class FakeGroup {
  readonly #machine: submissions.SubmissionStateMachine;
  isLeader = true;
  hasQuorum = true;

  constructor(machine: submissions.SubmissionStateMachine) {
    this.#machine = machine;
  }

  hasAuthority(): boolean {
    return this.isLeader && this.hasQuorum;
  }

  getStatus(): { readonly role: string } {
    return { role: this.isLeader ? "leader" : "follower" };
  }

  propose(command: unknown): Promise<unknown> {
    return Promise.resolve({ kind: "ok", value: this.#machine.apply(command) });
  }
}

describe("dispatcher", () => {
  let clock = new clocks.FakeClock();
  let machine = new submissions.SubmissionStateMachine(() => {});
  let group = new FakeGroup(machine);
  let dispatcher: dispatchers.Dispatcher;
  let servers = new registry.ServerRegistry(clock, 60_000);
  let engines = new engineTables.EngineTable(clock);
  let runs: http.ServerResponse[] = [];
  let onRun: () => void = () => {};
  const engine = http.createServer((_request, response) => {
    runs.push(response);
    response.writeHead(200, { id: "item-1" });
    response.write("id: 1\ndata: a\n\n");
    onRun();
  });

  before((done) => {
    engine.listen(0, "127.0.0.1", done);
  });

  after(() => {
    engine.closeAllConnections();
    engine.close();
  });

  beforeEach(async () => {
    runs = [];
    clock = new clocks.FakeClock();
    machine = new submissions.SubmissionStateMachine(() => {});
    machine.apply({ kind: "acceptSubmission", submission: SUBMISSION });
    group = new FakeGroup(machine);
    engines = new engineTables.EngineTable(clock);
    servers = new registry.ServerRegistry(clock, 60_000);
    servers.merge(serverFixtures.createServer("e-1", {
      port: (engine.address() as net.AddressInfo).port,
      models: [{ name: "m", version: 1 }],
    }));
    dispatcher = new dispatchers.Dispatcher({
      clock,
      log: new logs.Log("box", "error", () => {}),
      metrics: METRICS,
      dialect: DIALECT,
      servers,
      configuration: {} as trafficConfig.ConfigurationHolder,
      group: group as unknown as replicaGroups.ReplicaGroup,
      machine,
      engines,
      forwarder: {} as forwarding.Forwarder,
      crashGuard: guardFixtures.createCrashGuard(clock),
      runItem: itemRuns.runItem,
      draw: () => 0,
    });
    const isRunning = new Promise<void>((resolve) => {
      onRun = resolve;
    });
    dispatcher.start();
    await isRunning;
  });

  afterEach(() => dispatcher.stop());

  function awaitClosed(response: http.ServerResponse): Promise<void> {
    return new Promise((resolve) => response.once("close", resolve));
  }

  async function awaitListed(): Promise<void> {
    for (let turn = 0; turn < MAX_POLLS; turn += 1) {
      if (machine.get("s-1")?.results.length !== 0) return;
      clock.advance(1);
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }

  it("continues runs while the quorum is briefly unavailable", async () => {
    group.hasQuorum = false;
    clock.advance(500);
    group.hasQuorum = true;
    runs[0]?.end("id: 2\ndata: b\n\n");
    await awaitListed();
    chai.expect(runs.length).to.equal(1);
    chai.expect(machine.get("s-1")?.results[0]?.text).to.equal("a\nb");
  });

  it("moves a run at once when its engine restarts under the same id", async () => {
    // Guards against lost runs that occupy slots of the restarted engine until
    // the stall timeout.
    const former = servers.get("e-1");
    if (former === undefined) throw new Error("The test engine is missing");
    const closed = awaitClosed(runs[0]!);
    const isRunning = new Promise<void>((resolve) => {
      onRun = resolve;
    });
    servers.merge({ ...former, born: 5, sequence: 0 });
    await closed;
    await isRunning;
    chai.expect(runs.length).to.equal(2);
    const later = servers.get("e-1")!;
    chai.expect(engines.getRunCount(former.lifetime)).to.equal(0);
    chai.expect(engines.getRunCount(later.lifetime)).to.equal(1);
    chai.expect(engines.isAvoided(later.lifetime)).to.equal(false);
    runs[1]?.end("id: 2\ndata: b\n\n");
    await awaitListed();
    chai.expect(machine.get("s-1")?.results[0]?.text).to.equal("a\nb");
  });

  it("cancels runs when another replica becomes the leader", async () => {
    const [run] = runs;
    if (run === undefined) throw new Error("No run has started");
    const closed = awaitClosed(run);
    group.isLeader = false;
    clock.advance(50);
    await closed;
  });

  it("cancels runs when the quorum stays unavailable", async () => {
    const [run] = runs;
    if (run === undefined) throw new Error("No run has started");
    const closed = awaitClosed(run);
    group.hasQuorum = false;
    clock.advance(100);
    clock.advance(2_100);
    await closed;
  });
});
