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

/** A lifetime without a start time. */
const NO_START_TIME = { id: "i-1", born: undefined };

function report(
  changes: Partial<registeredServers.RegisteredServer>,
): registeredServers.RegisteredServer {
  return registeredServers.createRegisteredServer({ ...SERVER, ...changes });
}

describe("ServerRegistry", () => {
  let clock = new clocks.FakeClock();
  let servers = new serverRegistries.ServerRegistry(clock, HEARTBEAT_MS);

  beforeEach(() => {
    clock = new clocks.FakeClock();
    servers = new serverRegistries.ServerRegistry(clock, HEARTBEAT_MS);
  });

  it("merges reports to the same state in any order and when repeated", () => {
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

  it("does not return a leaving server to ready on a late report", () => {
    servers.merge(report({ sequence: 5, phase: "draining" }));
    servers.merge(report({ sequence: 4 }));
    chai.expect(servers.listReady("lm")).to.deep.equal([]);
    servers.markGone(NO_START_TIME);
    servers.merge(report({ sequence: 6 }));
    chai.expect(servers.listReady("lm")).to.deep.equal([]);
  });

  it("keeps an unknown server gone when its report arrives later", () => {
    servers.markGone(NO_START_TIME);
    servers.merge(report({ sequence: 9 }));
    chai.expect(servers.get("i-1")?.phase).to.equal("gone");
  });

  it("excludes an unavailable server until its next report", () => {
    // Guards against sending work to the address of a crashed engine after
    // another server has taken it over.
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

  it("does not select a crashed server again on a report sent before the crash", () => {
    // Guards against sending more work to the address of a crashed server, where
    // a restarted one may listen under a new id.
    servers.merge(report({ sequence: 5 }));
    servers.merge(report({ id: "i-2" }));
    servers.markCrashed(servers.get("i-1")!);
    for (const sequence of [6, 7]) {
      clock.advance(HEARTBEAT_MS);
      servers.merge(report({ sequence }));
      chai.expect(servers.listReady("lm").map((item) => item.id)).to.deep
        .equal(["i-2"]);
    }
  });

  it("selects a server again that keeps reporting after a presumed crash", () => {
    servers.merge(report({ sequence: 5 }));
    servers.markCrashed(servers.get("i-1")!);
    clock.advance(3 * HEARTBEAT_MS);
    chai.expect(servers.listReady("lm")).to.have.length(0);
    servers.merge(report({ sequence: 6 }));
    chai.expect(servers.listReady("lm")).to.have.length(1);
  });

  it("selects a later lifetime of a crashed server at once", () => {
    servers.merge(report({ born: 1 }));
    servers.markCrashed(servers.get("i-1")!);
    servers.merge(report({ born: 2, sequence: 0 }));
    chai.expect(servers.listReady("lm")).to.have.length(1);
  });

  it("does not mark a later lifetime unavailable for a former one", () => {
    servers.merge(report({ born: 1 }));
    const former = servers.get("i-1")!;
    servers.merge(report({ born: 2 }));
    servers.markUnavailable(former);
    chai.expect(servers.listReady("lm")).to.have.length(1);
  });

  it("excludes a silent server unless there is no other", () => {
    servers.merge(report({}));
    clock.advance(3 * HEARTBEAT_MS);
    servers.merge(report({ id: "i-2" }));
    chai.expect(servers.listReady("lm").map((item) => item.id)).to.deep.equal([
      "i-2",
    ]);
    clock.advance(3 * HEARTBEAT_MS);
    chai.expect(servers.listReady("lm").map((item) => item.id)).to.deep.equal([
      "i-1",
      "i-2",
    ]);
    clock.advance(30_000);
    chai.expect(servers.listReady("lm")).to.deep.equal([]);
  });

  describe("with a server restarted under the same id", () => {
    // Guards against a delayed report of a former lifetime that hides the current
    // one by its higher sequence, so that the server seems silent.
    const FIRST = report({ born: 1_000, sequence: 500 });
    const LATER = report({ born: 2_000, sequence: 1, models: [] });

    it("replaces the former lifetime regardless of sequence", () => {
      servers.merge(FIRST);
      chai.expect(servers.merge(LATER)).to.equal("changed");
      chai.expect(servers.get("i-1")?.born).to.equal(2_000);
      chai.expect(servers.get("i-1")?.sequence).to.equal(1);
      chai.expect(servers.get("i-1")?.models).to.deep.equal([]);
    });

    it("ignores late reports of the former lifetime", () => {
      servers.merge(FIRST);
      servers.merge(LATER);
      clock.advance(2 * HEARTBEAT_MS);
      for (const phase of ["ready", "draining", "gone"] as const) {
        const late = report({ born: 1_000, sequence: 900, phase });
        chai.expect(servers.merge(late)).to.equal("old");
      }
      chai.expect(servers.listReady("lm").map((item) => item.born)).to.deep
        .equal([2_000]);
      // The late reports do not count as signs of life of the later lifetime.
      clock.advance(HEARTBEAT_MS);
      servers.merge(report({ id: "i-2" }));
      chai.expect(servers.listReady("lm").map((item) => item.id)).to.deep
        .equal(["i-2"]);
    });

    it("marks only the lifetime in the notice as gone", () => {
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

    it("applies a notice without a start time to the known lifetime", () => {
      servers.merge(LATER);
      servers.markGone(NO_START_TIME);
      chai.expect(servers.listReady("lm")).to.deep.equal([]);
      chai.expect(servers.get("i-1")?.born).to.equal(2_000);
    });

    it("ignores reports without a start time or with a lower sequence", () => {
      servers.merge(report({ sequence: 40 }));
      chai.expect(servers.merge(LATER)).to.equal("changed");
      chai.expect(servers.merge(report({ sequence: 41 }))).to.equal("old");
      chai.expect(servers.merge({ ...LATER, sequence: 0 })).to.equal("old");
      chai.expect(servers.get("i-1")?.born).to.equal(2_000);
    });

    it("keeps the latest lifetime whatever the order of reports", () => {
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

    it("notifies each watcher of a replaced lifetime once", () => {
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

  describe("report validation", () => {
    const CONTEXT = {
      known: report({ born: 1_000 }),
      wallMs: 100_000,
      isService: (name: string): boolean => name === "lm",
    };

    function findRefusalReason(
      changes: Partial<registeredServers.RegisteredServer>,
      context = CONTEXT,
    ) {
      return reportValidation.validateReport(report(changes), context)?.reason;
    }

    it("accepts consistent reports and a start time slightly in the future", () => {
      chai.expect(findRefusalReason({ born: 1_000 })).to.equal(undefined);
      chai.expect(findRefusalReason({})).to.equal(undefined);
      chai.expect(findRefusalReason({ born: 130_000 })).to.equal(undefined);
      chai.expect(findRefusalReason({ born: 2_000, port: 9 })).to.equal(
        undefined,
      );
    });

    it("refuses a start time far in the future", () => {
      chai.expect(findRefusalReason({ born: 170_000 })).to.equal("start");
    });

    // Guards against a box whose clock was set back refusing all reports of
    // servers that started since then.
    it("accepts known lifetimes and new servers while this box's clock is behind", () => {
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

    it("refuses a service that is not configured or that changes", () => {
      chai.expect(findRefusalReason({ service: "none" })).to.equal("service");
      const context = { ...CONTEXT, isService: () => true };
      chai.expect(findRefusalReason({ born: 1_000, service: "other" }, context))
        .to.equal(
          "service",
        );
    });

    it("refuses another address of the same lifetime", () => {
      chai.expect(findRefusalReason({ born: 1_000, port: 9 })).to.equal(
        "address",
      );
    });

    it("accepts the first report of a server known only from a notice", () => {
      const known = registeredServers.createRegisteredServer(
        registeredServers.createGoneReport({ id: "i-1", born: undefined }),
      );
      chai.expect(findRefusalReason({}, { ...CONTEXT, known })).to.equal(
        undefined,
      );
    });
  });

  describe("RefusalRecorder", () => {
    it("counts every refusal and limits the log lines", () => {
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
      clock.advance(10_000);
      refused.record(refusal);
      chai.expect(lines.at(-1)).to.contain("server=i-1 ");
    });
  });
});
