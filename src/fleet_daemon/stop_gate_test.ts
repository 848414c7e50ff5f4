import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as servingTimes from "./_serving_time.ts";
import * as stopGates from "./_stop_gate.ts";

const NAME = { requestId: "r-1", target: "/till/x" };
const ROUTE = { name: "till", kind: "repeatable", targetLatencyMs: 200 };

describe("stop gate", () => {
  let clock = new clocks.FakeClock();
  let status = { servesUntilMs: Number.POSITIVE_INFINITY };
  let lines: object[] = [];

  function createGate(): stopGates.StopGate {
    return new stopGates.StopGate(
      {
        clock,
        status,
        log: {
          write: (_level: string, event: string, fields: object) =>
            lines.push({ event, ...fields }),
        },
        dialect: {
          formatFailure: (failure: object) => ({
            status: 503,
            headers: {},
            body: JSON.stringify(failure),
          }),
        },
      } as never,
    );
  }

  beforeEach(() => {
    clock = new clocks.FakeClock(1_000);
    status = { servesUntilMs: Number.POSITIVE_INFINITY };
    lines = [];
  });

  it("admits everything while the box serves", () => {
    const gate = createGate();
    chai.expect(gate.admitCall(NAME).kind).to.equal("serve");
    chai.expect(gate.admitRouted(NAME, ROUTE as never, 90_000)).to.deep.equal({
      kind: "serve",
      deadlineAtMs: 90_000,
    });
    chai.expect(servingTimes.getServingTimeMs({ clock, status })).to.equal(
      Number.POSITIVE_INFINITY,
    );
  });

  it("refuses with a true 503 and its log line what would not be answered", () => {
    const gate = createGate();
    gate.recordDuration(ROUTE as never, 800);
    status.servesUntilMs = 1_700;
    const verdict = gate.admitRouted(NAME, ROUTE as never, 3_000);
    if (verdict.kind !== "refused") throw new Error("the request was admitted");
    chai.expect(JSON.parse(String(verdict.answer.body))).to.include({
      code: "draining",
      outcome: "notRun",
      retryAfterMs: 50,
    });
    chai.expect(lines).to.deep.equal([{
      event: "request.refused",
      request: "r-1",
      target: "/till/x",
      reason: "stopping",
      remainingMs: 700,
      expectedMs: 800,
      returnMs: 50,
    }]);
  });

  it("is more careful with requests that may run only once", () => {
    const gate = createGate();
    const onceRoute = { ...ROUTE, kind: "once" };
    for (let count = 0; count < 100; count += 1) {
      gate.recordDuration(ROUTE as never, count % 2 === 0 ? 100 : 500);
    }
    status.servesUntilMs = 1_450;
    chai.expect(gate.admitRouted(NAME, ROUTE as never, 3_000).kind).to.equal(
      "serve",
    );
    chai.expect(gate.admitRouted(NAME, onceRoute as never, 3_000).kind).to
      .equal(
        "refused",
      );
  });

  it("expects the latency target of a route without answers", () => {
    const gate = createGate();
    status.servesUntilMs = 1_300;
    chai.expect(gate.admitRouted(NAME, ROUTE as never, 3_000).kind).to.equal(
      "serve",
    );
    clock.advance(150);
    chai.expect(gate.admitRouted(NAME, ROUTE as never, 3_000).kind).to.equal(
      "refused",
    );
  });

  it("refuses calls to the stores that would not be answered", () => {
    const gate = createGate();
    status.servesUntilMs = 1_200;
    chai.expect(gate.admitCall(NAME).kind).to.equal("serve");
    clock.advance(60);
    chai.expect(gate.admitCall(NAME).kind).to.equal("refused");
  });
});
