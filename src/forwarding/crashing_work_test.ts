import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as jobs from "./forward_job.ts";
import * as forwarders from "./forwarder.ts";
import * as fixtures from "./server_fixture_test.ts";
import * as serverLoads from "./server_loads.ts";

const CRASHING = "bad";
const SERVER_COUNT = 5;

describe("forwarding of work that crashes servers", () => {
  const clock = new clocks.SystemClock();
  let servers: http.Server[] = [];
  let receivedBy: string[] = [];
  let serverRegistry = new registry.ServerRegistry(clock, 60_000);
  let table = new crashRecords.CrashTable();
  let loads = new serverLoads.ServerLoads(clock);
  /** Whether crashing work stops the server or only resets its connection. */
  let crashesServers = true;

  beforeEach(async () => {
    receivedBy = [];
    crashesServers = true;
    serverRegistry = new registry.ServerRegistry(clock, 60_000);
    table = new crashRecords.CrashTable();
    loads = new serverLoads.ServerLoads(clock);
    servers = [];
    for (let index = 0; index < SERVER_COUNT; index += 1) {
      await startServer(index);
    }
  });

  afterEach(() => {
    for (const server of servers) endServer(server);
  });

  async function startServer(index: number): Promise<void> {
    const server = http.createServer((request, response) => {
      receivedBy.push(`s${index}`);
      const chunks: Buffer[] = [];
      request.on("data", (chunk: Buffer) => chunks.push(chunk));
      request.on("end", () => {
        const body = Buffer.concat(chunks).toString();
        if (body !== CRASHING) return fixtures.answer(200)(request, response);
        if (crashesServers) endServer(server);
        else request.socket.destroy();
      });
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    serverRegistry.merge(serverFixtures.createServer(`s${index}`, {
      service: "app",
      port: (server.address() as net.AddressInfo).port,
      slots: 4,
      // Makes the choice of servers follow their order.
      coldMs: index * 100,
    }));
  }

  function endServer(server: http.Server): void {
    server.close();
    server.closeAllConnections();
  }

  function send(
    body: string,
    overrides: Partial<jobs.ForwardJob> = {},
    guardOverrides: Partial<crashGuards.CrashGuardOptions> = {},
  ): Promise<jobs.ForwardOutcome> {
    const forwarder = new forwarders.Forwarder({
      clock,
      crashGuard: guardFixtures.createCrashGuard(clock, {
        table,
        servers: serverRegistry,
        ...guardOverrides,
      }),
      log: new logs.Log("box", "error", () => {}),
      servers: serverRegistry,
      loads,
      dialect: fixtures.DIALECT,
      failureDomain: "d",
      draw: () => 0,
      isLoadAware: true,
    });
    return forwarder.send(fixtures.createJob(clock, {
      headers: { host: "a.example" },
      body: Buffer.from(body),
      targetAtMs: clock.getMonotonicMs() + 1_000,
      deadlineAtMs: clock.getMonotonicMs() + 5_000,
      maxAttempts: 2,
      ...overrides,
    }));
  }

  /** Backdates all crash records to end the pause before the last run. */
  function expirePause(): void {
    const records = table.list().map((record) => ({
      ...record,
      notedAtMs: record.notedAtMs - 10_000,
    }));
    table.restore(records);
  }

  it("stops after two crashes and sends nothing during the pause", async () => {
    const first = await send(CRASHING);
    chai.expect(first.kind).to.equal("failed");
    chai.expect(receivedBy).to.deep.equal(["s0", "s1"]);
    const second = await send(CRASHING);
    if (second.kind !== "heldBack") throw new Error(second.kind);
    chai.expect(second.returnMs).to.be.within(1, 5_000);
    chai.expect(receivedBy).to.deep.equal(["s0", "s1"]);
  });

  it("uses a third server after the pause, and no fourth", async () => {
    await send(CRASHING);
    expirePause();
    chai.expect((await send(CRASHING)).kind).to.equal("failed");
    chai.expect(receivedBy).to.deep.equal(["s0", "s1", "s2"]);
    expirePause();
    chai.expect((await send(CRASHING)).kind).to.equal("heldBack");
    chai.expect(receivedBy).to.deep.equal(["s0", "s1", "s2"]);
  });

  it("limits crashes of a server that restarts at its address while its former lifetime is listed", async () => {
    let crashCount = 0;
    const [first] = servers;
    const { port } = first?.address() as net.AddressInfo;
    first?.removeAllListeners("request");
    first?.on("request", () => {
      crashCount += 1;
      endServer(first);
    });
    for (const server of servers.slice(1)) endServer(server);
    for (let index = 1; index < SERVER_COUNT; index += 1) {
      serverRegistry.markGone({ id: `s${index}`, born: undefined });
    }
    for (let round = 0; round < 5; round += 1) {
      // The box still selects the crashed server, as on a late report.
      await send(CRASHING, { maxAttempts: 1 }, {
        servers: { markCrashed: () => {} },
      });
      if (first?.listening === false) {
        await new Promise<void>((resolve) =>
          first.listen(port, "127.0.0.1", resolve)
        );
      }
      expirePause();
    }
    chai.expect(crashCount).to.equal(3);
  });

  it("answers other work from the remaining servers", async () => {
    await send(CRASHING);
    const outcome = await send("good");
    chai.expect(outcome.kind).to.equal("answered");
    chai.expect(receivedBy).to.deep.equal(["s0", "s1", "s2"]);
  });

  it("sends no hedged request for suspect work", async () => {
    await send(CRASHING, { maxAttempts: 1 });
    let release: (() => void) | undefined;
    const held = new Promise<void>((resolve) => {
      release = resolve;
    });
    const [, second] = servers;
    second?.removeAllListeners("request");
    second?.on("request", (request, response) => {
      receivedBy.push("s1");
      request.resume();
      void held.then(() => fixtures.answer(200)(request, response));
    });
    setTimeout(() => release?.(), 60);
    const outcome = await send(CRASHING, { hedgeMs: 1 });
    chai.expect(outcome.kind).to.equal("answered");
    chai.expect(receivedBy).to.deep.equal(["s0", "s1"]);
  });

  it("records no crash for a connection reset", async () => {
    crashesServers = false;
    for (let round = 0; round < 4; round += 1) {
      chai.expect((await send(CRASHING)).kind).to.equal("failed");
    }
    chai.expect(receivedBy.length).to.equal(8);
    chai.expect(table.isEmpty()).to.equal(true);
  });

  it("clears work that a server has completed", async () => {
    const [first] = servers;
    first?.removeAllListeners("request");
    first?.on("request", () => first === undefined || endServer(first));
    chai.expect((await send("good")).kind).to.equal("answered");
    const [record] = table.list();
    chai.expect(record?.ended).to.deep.equal(["s0"]);
    chai.expect(crashRecords.countConsecutiveCrashes(record)).to.equal(0);
  });

  it("reports work that was sent before as failed, as it may have run", async () => {
    const outcome = await send(CRASHING);
    if (outcome.kind !== "failed") throw new Error(outcome.kind);
    chai.expect(outcome.reason).to.contain("servers ended");
  });

  it("waits while other boxes run the same work and sends it once it is cleared", async () => {
    await send(CRASHING, { maxAttempts: 1 });
    let asked = 0;
    const outcome = await send("bad", { maxAttempts: 1 }, {
      askGrant: () => {
        asked += 1;
        const [record] = table.list();
        if (asked === 2 && record !== undefined) {
          table.merge({ ...record, cleared: record.ended }, clock.getWallMs());
        }
        return Promise.resolve({ kind: "busy" });
      },
    });
    chai.expect(asked).to.equal(2);
    chai.expect(outcome.kind).to.equal("failed");
    chai.expect(receivedBy).to.deep.equal(["s0", "s1"]);
  });

  it("lets work with one crash share a server if none is free of suspect work", async () => {
    const [first] = servers;
    first?.removeAllListeners("request");
    first?.on("request", () => first === undefined || endServer(first));
    const outcome = await send("good", {}, {
      askGrant: ({ servers: [server = ""], mayShare }) =>
        Promise.resolve(
          mayShare ? { kind: "granted", server } : { kind: "busy" },
        ),
    });
    chai.expect(outcome.kind).to.equal("answered");
    // The crashed server does not record its request.
    chai.expect(receivedBy).to.deep.equal(["s1"]);
  });

  it("holds work of a box that has just started until it knows of earlier crashes", async () => {
    await send(CRASHING);
    const records = table.list();
    table.restore([]);
    const recordSync = new crashGuards.RecordSync(clock, { write: () => {} });
    const sending = send(CRASHING, {}, { recordSync });
    await clocks.sleep(clock, 50);
    table.restore(records);
    recordSync.complete();
    chai.expect((await sending).kind).to.equal("heldBack");
    chai.expect(receivedBy).to.deep.equal(["s0", "s1"]);
  });

  it("sends works that one crash made suspect to different servers without a leader", async () => {
    // Guards against normal work that is held back because it runs twice beside
    // work that crashes its servers.
    const [first] = servers;
    const bodies = ["one", "two", "three"];
    const waiting: (() => void)[] = [];
    const unanswered: Partial<crashGuards.CrashGuardOptions> = {
      askGrant: () =>
        new Promise((resolve) => {
          waiting.push(() => resolve(undefined));
          if (waiting.length < bodies.length) return;
          for (const release of waiting) release();
        }),
    };
    let arrived = 0;
    first?.removeAllListeners("request");
    first?.on("request", () => {
      arrived += 1;
      if (arrived === bodies.length) endServer(first);
    });
    const outcomes = await Promise.all(
      bodies.map((body) => send(body, {}, unanswered)),
    );
    chai.expect(outcomes.map(({ kind }) => kind)).to.deep.equal(
      bodies.map(() => "answered"),
    );
    chai.expect(new Set(receivedBy).size).to.equal(bodies.length);
  });

  it("leaves the leader half of the time to the latency target to reply", async () => {
    await send(CRASHING, { maxAttempts: 1 });
    const timeouts: number[] = [];
    for (const leftMs of [1_000, 0]) {
      const targetAtMs = clock.getMonotonicMs() + leftMs;
      await send(CRASHING, { targetAtMs, maxAttempts: 1 }, {
        askGrant: (_request, timeoutMs) => {
          timeouts.push(timeoutMs);
          return Promise.resolve(undefined);
        },
      });
      expirePause();
    }
    const [early = 0, late] = timeouts;
    chai.expect(early).to.be.within(200, 500);
    chai.expect(late).to.equal(200);
  });

  it("releases a grant whose reply may have been lost", async () => {
    const runs: string[] = [];
    await send(CRASHING, { maxAttempts: 1 });
    await send(CRASHING, { maxAttempts: 1 }, {
      askGrant: ({ run }) => {
        runs.push(run);
        return Promise.resolve(undefined);
      },
      endGrant: ({ run }) => {
        runs.push(run);
      },
    });
    chai.expect(runs.length).to.equal(2);
    chai.expect(runs[0]).to.equal(runs[1]);
  });

  it("retries once if no leader answers, as one crash may be unrelated", async () => {
    const unanswered = { askGrant: () => Promise.resolve(undefined) };
    chai.expect((await send(CRASHING, {}, unanswered)).kind).to.equal("failed");
    chai.expect(receivedBy).to.deep.equal(["s0", "s1"]);
    expirePause();
    const targetAtMs = clock.getMonotonicMs();
    const last = await send(CRASHING, { targetAtMs }, unanswered);
    chai.expect(last.kind).to.equal("heldBack");
    chai.expect(receivedBy).to.deep.equal(["s0", "s1"]);
  });
});
