import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import * as reportValidation from "./validate_report.ts";
import * as refusalRecorders from "./refusal_recorder.ts";
import * as registeredServers from "./registered_server.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as serverRegistries from "./server_registry.ts";

const HEARTBEAT_MS = 1_000;

const SERVER = serverFixtures.createServer("i-1", {
  port: 9_000,
  failureDomain: "north",
  slots: 4,
  models: [{ name: "m", version: 1 }],
});

/** A start that is told by its id alone. */
const NO_START_TIME = { id: "i-1", born: undefined };

function report(
  changes: Partial<registeredServers.RegisteredServer>,
): registeredServers.RegisteredServer {
  return registeredServers.createRegisteredServer({ ...SERVER, ...changes });
}

describe("registry", () => {
  let clock = new clocks.FakeClock();
  let servers = new serverRegistries.ServerRegistry(clock, HEARTBEAT_MS);

  beforeEach(() => {
    clock = new clocks.FakeClock();
    servers = new serverRegistries.ServerRegistry(clock, HEARTBEAT_MS);
  });

  it("comes to the same whatever order reports arrive in, and how often", () => {
    const reports = [
      report({ sequence: 1 }),
      report({ sequence: 2, models: [{ name: "m", version: 2 }] }),
      report({ sequence: 3, phase: "draining" }),
      report({ sequence: 4, phase: "draining" }),
    ];
    const orders = fastCheck.shuffledSubarray(
      [...reports, ...reports],
      { minLength: 8, maxLength: 8 },
    );
    fastCheck.assert(
      fastCheck.property(orders, (order) => {
        const merged = new serverRegistries.ServerRegistry(clock, HEARTBEAT_MS);
        for (const item of order) merged.merge(item);
        chai.expect(merged.get("i-1")).to.deep.equal(reports[3]);
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it("never lets a late report bring a leaving server back", () => {
    servers.merge(report({ sequence: 5, phase: "draining" }));
    servers.merge(report({ sequence: 4 }));
    chai.expect(servers.listReady("lm")).to.deep.equal([]);
    servers.markGone(NO_START_TIME);
    servers.merge(report({ sequence: 6 }));
    chai.expect(servers.listReady("lm")).to.deep.equal([]);
  });

  it("remembers that a server left before anything else was heard of it", () => {
    servers.markGone(NO_START_TIME);
    servers.merge(report({ sequence: 9 }));
    chai.expect(servers.get("i-1")?.phase).to.equal("gone");
  });

  it("passes over a server at whose address another one answered, until it is heard", () => {
    // After a restart of all boxes the stores' leader asked an engine that had
    // crashed 13 s before for its state. The server that had its address by then
    // answered, so the engine was held for ready: 15 runs and 5 orders went there
    // and were refused with 421 over 3 s, and a step came 2 s late.
    servers.merge(report({ sequence: 5 }));
    servers.merge(report({ id: "i-2" }));
    servers.markUnavailable(servers.get("i-1")!);
    const listed = servers.listReady("lm").map((item) => item.id);
    chai.expect(listed).to.deep.equal(["i-2"]);
    servers.merge(report({ sequence: 5 }));
    chai.expect(servers.listReady("lm")).to.have.length(1);
    servers.merge(report({ sequence: 6 }));
    chai.expect(servers.listReady("lm")).to.have.length(2);
  });

  it("holds no later start for absent for what a former one met", () => {
    servers.merge(report({ born: 1 }));
    const former = servers.get("i-1")!;
    servers.merge(report({ born: 2 }));
    servers.markUnavailable(former);
    chai.expect(servers.listReady("lm")).to.have.length(1);
  });

  it("passes over a silent server, unless there is no other", () => {
    servers.merge(report({}));
    clock.extendBy(3 * HEARTBEAT_MS);
    servers.merge(report({ id: "i-2" }));
    chai.expect(servers.listReady("lm").map((item) => item.id)).to.deep.equal([
      "i-2",
    ]);
    clock.extendBy(3 * HEARTBEAT_MS);
    chai.expect(servers.listReady("lm").map((item) => item.id)).to.deep.equal([
      "i-1",
      "i-2",
    ]);
    clock.extendBy(30_000);
    chai.expect(servers.listReady("lm")).to.deep.equal([]);
  });

  describe("where a server starts again under its id", () => {
    // A server restarted twice within a minute; a report of its first start,
    // held up by a cut, arrived after the third had registered. Its sequence of
    // 500 hid the third start's, which began at 1, until the boxes took the
    // server for silent and sent it nothing.
    const FIRST = report({ born: 1_000, sequence: 500 });
    const LATER = report({ born: 2_000, sequence: 1, models: [] });

    it("takes the later start at once, whatever its sequence", () => {
      servers.merge(FIRST);
      chai.expect(servers.merge(LATER)).to.equal("changed");
      chai.expect(servers.get("i-1")?.born).to.equal(2_000);
      chai.expect(servers.get("i-1")?.sequence).to.equal(1);
      chai.expect(servers.get("i-1")?.models).to.deep.equal([]);
    });

    it("lets a late report of the former start change nothing", () => {
      servers.merge(FIRST);
      servers.merge(LATER);
      clock.extendBy(2 * HEARTBEAT_MS);
      for (const phase of ["ready", "draining", "gone"] as const) {
        const late = report({ born: 1_000, sequence: 900, phase });
        chai.expect(servers.merge(late)).to.equal("old");
      }
      chai.expect(servers.listReady("lm").map((item) => item.born)).to.deep
        .equal([2_000]);
      // Nor does it make the later start look alive.
      clock.extendBy(HEARTBEAT_MS);
      servers.merge(report({ id: "i-2" }));
      chai.expect(servers.listReady("lm").map((item) => item.id)).to.deep
        .equal(["i-2"]);
    });

    it("takes a start that has gone for no other one", () => {
      servers.merge(FIRST);
      servers.markGone({ id: "i-1", born: 1_000 });
      servers.merge(LATER);
      chai.expect(servers.listReady("lm")).to.have.length(1);
      servers.markGone({ id: "i-1", born: 1_000 });
      chai.expect(servers.listReady("lm")).to.have.length(1);
      servers.markGone({ id: "i-1", born: 2_000 });
      chai.expect(servers.listReady("lm")).to.have.length(0);
      servers.merge(report({ born: 2_000, sequence: 7 }));
      chai.expect(servers.listReady("lm")).to.have.length(0);
    });

    it("takes a notice without a start for one of the start that is known", () => {
      servers.merge(LATER);
      servers.markGone(NO_START_TIME);
      chai.expect(servers.listReady("lm")).to.deep.equal([]);
      chai.expect(servers.get("i-1")?.born).to.equal(2_000);
    });

    it("holds a start without a time for former, and a smaller sequence for late", () => {
      servers.merge(report({ sequence: 40 }));
      chai.expect(servers.merge(LATER)).to.equal("changed");
      chai.expect(servers.merge(report({ sequence: 41 }))).to.equal("old");
      chai.expect(servers.merge({ ...LATER, sequence: 0 })).to.equal("old");
      chai.expect(servers.get("i-1")?.born).to.equal(2_000);
    });

    it("comes to the latest start whatever order reports arrive in", () => {
      const reports = [1, 2, 3].flatMap((born) => [
        report({ born, sequence: 90 - born }),
        report({ born, sequence: 91 - born, models: [] }),
      ]);
      const orders = fastCheck.shuffledSubarray([...reports, ...reports], {
        minLength: 12,
        maxLength: 12,
      });
      fastCheck.assert(
        fastCheck.property(orders, (order) => {
          const merged = new serverRegistries.ServerRegistry(
            clock,
            HEARTBEAT_MS,
          );
          for (const item of order) merged.merge(item);
          chai.expect(merged.get("i-1")).to.deep.equal(reports[5]);
        }),
        { seed: 2, numRuns: 200 },
      );
    });

    it("tells each watcher of a start once that it is replaced", () => {
      let notifications = 0;
      servers.merge(FIRST);
      const { lifetime } = servers.get("i-1")!;
      const endWatch = servers.watch(lifetime, () => notifications += 100);
      servers.watch(lifetime, () => notifications += 1);
      endWatch();
      servers.merge(report({ born: 1_000, sequence: 501 }));
      chai.expect(notifications).to.equal(0);
      servers.merge(LATER);
      servers.merge(report({ born: 3_000 }));
      chai.expect(notifications).to.equal(1);
    });
  });

  describe("checks a report that can be read", () => {
    const CONTEXT = {
      known: report({ born: 1_000 }),
      wallMs: 100_000,
      isService: (name: string): boolean => name === "lm",
    };

    function findRefusalReason(
      changes: Partial<registeredServers.RegisteredServer>,
      check = CONTEXT,
    ) {
      return reportValidation.validateReport(report(changes), check)?.reason;
    }

    it("takes what fits its start, and a start that lies a little ahead", () => {
      chai.expect(findRefusalReason({ born: 1_000 })).to.equal(undefined);
      chai.expect(findRefusalReason({})).to.equal(undefined);
      chai.expect(findRefusalReason({ born: 130_000 })).to.equal(undefined);
      chai.expect(findRefusalReason({ born: 2_000, port: 9 })).to.equal(
        undefined,
      );
    });

    it("refuses a start far ahead, which would hide the true ones", () => {
      chai.expect(findRefusalReason({ born: 170_000 })).to.equal("start");
    });

    // A box whose time of day had been set back by some minutes refused the reports
    // and the notices of leaving of all servers that had started since then.
    it("takes known starts and new servers though this box's clock is behind", () => {
      const behind = { ...CONTEXT, wallMs: -300_000 };
      chai.expect(findRefusalReason({ born: 1_000 }, behind)).to.equal(
        undefined,
      );
      const unknownServer = { ...behind, known: undefined };
      chai.expect(
        reportValidation.validateReport(report({ born: 1_000 }), unknownServer),
      )
        .to.equal(undefined);
      const days = 86_400_000;
      chai.expect(
        reportValidation.validateReport(report({ born: days }), unknownServer)
          ?.reason,
      ).to.equal("start");
    });

    it("refuses a service that is not configured, or not that of the start", () => {
      chai.expect(findRefusalReason({ service: "none" })).to.equal("service");
      const check = { ...CONTEXT, isService: () => true };
      chai.expect(findRefusalReason({ born: 1_000, service: "other" }, check))
        .to.equal(
          "service",
        );
    });

    it("refuses another address of the same start", () => {
      chai.expect(findRefusalReason({ born: 1_000, port: 9 })).to.equal(
        "address",
      );
    });

    it("takes the first report after a notice that came before it", () => {
      const known = registeredServers.createRegisteredServer(
        registeredServers.createGoneReport({ id: "i-1", born: undefined }),
      );
      chai.expect(findRefusalReason({}, { ...CONTEXT, known })).to.equal(
        undefined,
      );
    });
  });

  describe("notes refused reports", () => {
    it("counts each, and logs a fault once in a while and few in all", () => {
      const lines: string[] = [];
      const counts: string[] = [];
      const refused = new refusalRecorders.RefusalRecorder({
        clock,
        log: new logs.Log("box", "info", (line) => lines.push(line)),
        metrics: { countRefusedReport: (reason) => counts.push(reason) },
      });
      const refusal = {
        server: "i-1",
        reason: "field",
        field: "slots",
      } as const;
      for (let turn = 0; turn < 5; turn += 1) refused.record(refusal);
      chai.expect(lines).to.have.length(1);
      chai.expect(lines[0]).to.contain(
        "event=report.refused box=box server=i-1 reason=field field=slots",
      );
      for (let index = 0; index < 500; index += 1) {
        refused.record({ ...refusal, server: "x".repeat(index) });
      }
      chai.expect(counts).to.have.length(505);
      chai.expect(lines.length).to.be.lessThan(40);
      chai.expect(Math.max(...lines.map((line) => line.length))).to.be
        .lessThan(250);
      clock.extendBy(10_000);
      refused.record(refusal);
      chai.expect(lines.at(-1)).to.contain("server=i-1 ");
    });
  });
});
