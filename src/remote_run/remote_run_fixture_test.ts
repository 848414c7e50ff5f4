import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as consensus from "../consensus/mod.ts";
import * as csp from "../csp/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as rawServers from "../fixtures/raw_server.ts";
import type * as forwarding from "../forwarding/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as itemRuns from "../item_run/mod.ts";
import * as runFixtures from "../item_run/run_fixture_test.ts";
import * as logs from "../log/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as submissionFixtures from "../submission/submission_fixture_test.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import * as fakeBoxes from "./fake_box_fixture_test.ts";
import * as remoteRunners from "./remote_runner.ts";
import * as runWorkers from "./run_worker.ts";

export const [LEADER, WORKER] = ["10.0.0.1", "10.0.0.2"];
export const [BUSY, IDLE] = [0.9, 0.1];
/** Advance of the clock in each turn, in ms. */
const TURN_MS = 10;
const MAX_TURNS = 2_000;

/** The outcome of a call that is never answered. */
export const NEVER = new Promise<never>(() => {});

const CONFIGURATION = {
  routes: [{
    host: "a.example",
    pathPrefix: "/score",
    targets: [{ service: "scorer", weight: 1 }],
    attempts: 2,
  }],
} as unknown as trafficConfig.Configuration;

export const SUBMISSION = submissionFixtures.createSubmission(
  "s-1",
  [runFixtures.ITEM],
  { minimumVersion: 2 },
);

/** Formats events with consecutive ids. */
export function formatEvents(first: number, last: number): string {
  const ids = Array.from({ length: last - first + 1 }, (_, at) => first + at);
  return ids.map((id) => `id: ${id}\ndata: text-${id}\n\n`).join("");
}

/** A run as its leader observes it. */
export interface ObservedRun {
  readonly progress: itemRuns.TextProgress;
  readonly cancellation: csp.Cancellation;
  readonly ended: Promise<itemRuns.RunOutcome>;
}

/** A leader, another store box and an engine, without a network between boxes. */
export class RemoteRunFixture {
  readonly clock = new clocks.FakeClock(1_000);
  readonly engine = new rawServers.RawServer();
  readonly leader = new fakeBoxes.FakeBox();
  worker = new fakeBoxes.FakeBox();
  readonly runWorker: runWorkers.RunWorker;
  readonly stateChanged = new csp.Signal();
  readonly machine = new submissions.SubmissionStateMachine(() =>
    this.stateChanged.notify()
  );
  readonly busyShares: Record<string, number> = {
    [LEADER]: BUSY,
    [WORKER]: IDLE,
  };
  /** Requests that the engine received. */
  readonly requests: rawServers.RawRequest[] = [];
  /** Outcome of scoring calls. */
  scoring: Promise<forwarding.ForwardOutcome> = NEVER;

  constructor() {
    this.machine.apply({ kind: "acceptSubmission", submission: SUBMISSION });
    this.runWorker = new runWorkers.RunWorker({
      clock: this.clock,
      dialect: runFixtures.DIALECT,
      busyMonitor: { getBusyShare: () => this.busyShares[WORKER] ?? 0 },
      id: WORKER,
      machine: this.machine,
      stateChanged: this.stateChanged,
      peers: { get: () => this.leader },
      server: this.worker,
      forwarder: { send: () => this.scoring },
      configuration: { get: () => CONFIGURATION },
      draw: () => 0,
    });
  }

  createRunner(): remoteRunners.RemoteRunner {
    const boxes = [LEADER, WORKER];
    return new remoteRunners.RemoteRunner({
      clock: this.clock,
      log: new logs.Log("box", "error", () => {}),
      busyMonitor: { getBusyShare: () => this.busyShares[LEADER] ?? 0 },
      id: LEADER,
      directory: {
        listAlive: () =>
          boxes.map((id) => ({
            id,
            isStore: true,
            isLeaving: false,
            failureDomain: "d",
          } as fleet.BoxRecord)),
      },
      group: {
        getStatus: () => ({
          followers: boxes.map((id) => ({ id, isAdmitted: true, silentMs: 0 })),
        } as unknown as consensus.ReplicaStatus),
      },
      peers: { get: () => this.worker },
      server: this.leader,
    });
  }

  startRun(
    runner: remoteRunners.RemoteRunner,
    changes: Partial<remoteRunners.SubmissionRun> = {},
  ): ObservedRun {
    const progress = changes.progress ?? new itemRuns.TextProgress();
    const cancellation = new csp.Cancellation();
    const { clock, engine } = this;
    const ended = runner.run({
      clock,
      dialect: runFixtures.DIALECT,
      submission: SUBMISSION.id,
      item: runFixtures.ITEM,
      sender: SUBMISSION.sender,
      host: SUBMISSION.terms.host,
      engine: serverFixtures.createServer("e-1", { port: engine.getPort() }),
      minimumVersion: SUBMISSION.minimumVersion,
      isSingleVersion: false,
      progress,
      stallTimeoutMs: 60_000,
      cancellation,
      onEvent: () => {},
      onVersion: () => {},
      ...changes,
    });
    return { progress, cancellation, ended };
  }

  /** Advances the clock until a condition holds. */
  async advanceUntil(condition: () => boolean): Promise<void> {
    for (let turn = 0; turn < MAX_TURNS && !condition(); turn += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      this.clock.advance(TURN_MS);
    }
    chai.expect(condition(), String(condition)).to.equal(true);
  }

  /** Advances the clock until a promise is settled, and returns its value. */
  async awaitValue<T>(promise: Promise<T>): Promise<T> {
    let settled: { readonly value: T } | undefined;
    void promise.then((value) => {
      settled = { value };
    });
    await this.advanceUntil(() => settled !== undefined);
    return (settled as unknown as { readonly value: T }).value;
  }

  /** Lets the engine answer with a stream, of which a byte may be missing. */
  answerWith(body: string, isWhole = true): void {
    this.engine.handle = (request) => {
      this.requests.push(request);
      const length = body.length + (isWhole ? 0 : 1);
      request.socket.write(
        `HTTP/1.1 200 OK\r\nid: item-1\r\nversion: 3\r\ncontent-length: ${length}\r\n\r\n${body}`,
      );
    };
  }
}
