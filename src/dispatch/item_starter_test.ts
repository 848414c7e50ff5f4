import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import type * as forwarding from "../forwarding/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as itemFixtures from "../submission/item_fixture_test.ts";
import * as submissionFixtures from "../submission/submission_fixture_test.ts";
import * as submissions from "../submission/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import * as dispatchers from "./dispatcher.ts";
import * as runMovers from "./run_mover.ts";
import * as engineTables from "./engine_table.ts";

/*
 * A leader started all waiting items at once. On a slow box that took most of a
 * second, in which it sent no heartbeats: it lost its authority, and its successor
 * started the same items at once.
 */

const ITEMS = 100;
/** Time that a slow box takes to start a run, in ms. */
const START_MS = 4;
/** Longest time in which a leader may handle no other event, in ms. */
const MAX_BLOCK_MS = 50;

const SUBMISSION = submissionFixtures.createSubmission(
  "s-1",
  Array.from(
    { length: ITEMS },
    (_, at) => itemFixtures.createItem(`item-${at}`),
  ),
);

/** A clock that moves on only while work is done. */
class WorkClock extends clocks.FakeClock {
  #usedMs = 0;

  useTime(ms: number): void {
    this.#usedMs += ms;
  }

  override getMonotonicMs(): number {
    return super.getMonotonicMs() + this.#usedMs;
  }
}

/** Counts the runs that are started and takes time for each. */
class SlowEngineTable extends engineTables.EngineTable {
  readonly #clock: WorkClock;
  startCount = 0;

  constructor(clock: WorkClock) {
    super(clock);
    this.#clock = clock;
  }

  override addRun(lifetime: registry.LifetimeKey): void {
    super.addRun(lifetime);
    this.startCount += 1;
    this.#clock.useTime(START_MS);
  }
}

describe("leader on a slow box with many waiting items", () => {
  let hasAuthority = true;
  let engines: SlowEngineTable;
  let dispatcher: dispatchers.Dispatcher;
  /** An engine that answers no request. */
  const engine = http.createServer(() => {});

  before((done) => {
    engine.listen(0, "127.0.0.1", done);
  });

  after(() => {
    engine.closeAllConnections();
    engine.close();
  });

  beforeEach(() => {
    const clock = new WorkClock();
    const machine = new submissions.SubmissionStateMachine(() => {});
    machine.apply({ kind: "acceptSubmission", submission: SUBMISSION });
    hasAuthority = true;
    engines = new SlowEngineTable(clock);
    const servers = new registry.ServerRegistry(clock, 60_000);
    servers.merge(serverFixtures.createServer("e-1", {
      port: (engine.address() as net.AddressInfo).port,
      slots: ITEMS,
      models: [{ name: "m", version: 1 }],
    }));
    dispatcher = new dispatchers.Dispatcher({
      clock,
      log: new logs.Log("box", "error", () => {}),
      metrics: {
        countItemRun: () => {},
        recordItem: () => {},
        setPlannedGroups: () => {},
      } as unknown as metrics.FleetMetrics,
      dialect: {
        versionField: "version",
        createForwardHeaders: (headers: dialects.HeaderMap) => headers,
      } as unknown as dialects.Dialect,
      servers,
      configuration: {} as trafficConfig.ConfigurationHolder,
      group: {
        hasAuthority: () => hasAuthority,
        getStatus: () => ({ role: "leader" }),
      } as unknown as replicaGroups.ReplicaGroup,
      machine,
      engines,
      forwarder: {} as forwarding.Forwarder,
      crashGuard: guardFixtures.createCrashGuard(clock),
      runItem: itemRuns.runItem,
      draw: () => 0,
    });
  });

  afterEach(() => dispatcher.stop());

  /** Lets other events be handled, and returns the runs started after them. */
  async function countNextStarts(): Promise<number> {
    const before = engines.startCount;
    await new Promise((resolve) => setImmediate(resolve));
    return engines.startCount - before;
  }

  it("handles other events between the items that it starts", async () => {
    dispatcher.start();
    let longest = engines.startCount;
    for (let turn = 0; turn < ITEMS; turn += 1) {
      longest = Math.max(longest, await countNextStarts());
    }
    chai.expect(engines.startCount).to.be.at.least(ITEMS);
    chai.expect(longest * START_MS).to.be.at.most(MAX_BLOCK_MS);
  });

  it("starts no further items once its authority is lost", async () => {
    dispatcher.start();
    const startCount = engines.startCount;
    hasAuthority = false;
    for (let turn = 0; turn < ITEMS; turn += 1) await countNextStarts();
    chai.expect(engines.startCount).to.equal(startCount);
    chai.expect(startCount).to.be.lessThan(ITEMS);
  });

  // Free slots are for the items that wait: a run moved there is cut in vain.
  it("looks for runs to move only once the waiting items are started", async () => {
    const startCounts: number[] = [];
    const { prototype } = runMovers.RunMover;
    const moveToFasterEngines = prototype.moveToFasterEngines;
    prototype.moveToFasterEngines = () => {
      startCounts.push(engines.startCount);
    };
    try {
      dispatcher.start();
      for (let turn = 0; turn < ITEMS; turn += 1) await countNextStarts();
      dispatcher.wake();
      await countNextStarts();
      await countNextStarts();
    } finally {
      prototype.moveToFasterEngines = moveToFasterEngines;
    }
    chai.expect(startCounts).to.not.deep.equal([]);
    chai.expect(Math.min(...startCounts)).to.be.at.least(ITEMS);
  });
});
