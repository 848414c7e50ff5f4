import * as chai from "chai";
import * as loadSimulations from "../fixtures/load_simulation.ts";

const SEED = 4;
/** Tolerated difference between two replays, as a share of all callers. */
const TOLERANCE = 0.02;

describe("forwarding under load", () => {
  for (const pattern of loadSimulations.LOAD_PATTERNS) {
    it(`serves no fewer callers when load-aware: ${pattern.name}`, async () => {
      const unawareOutcome = await loadSimulations.simulateLoad(
        pattern,
        SEED,
        false,
      );
      const awareOutcome = await loadSimulations.simulateLoad(
        pattern,
        SEED,
        true,
      );
      function getShares(outcome: loadSimulations.LoadOutcome) {
        return {
          inTarget: outcome.inTarget / outcome.asked,
          served: outcome.served / outcome.asked,
          refusedTwice: outcome.refusedTwice / outcome.asked,
          attempts: outcome.attempts / outcome.asked,
        };
      }
      const [unaware, aware] = [
        getShares(unawareOutcome),
        getShares(awareOutcome),
      ];
      chai.expect(aware.inTarget).to.be.at.least(unaware.inTarget - TOLERANCE);
      chai.expect(aware.served).to.be.at.least(unaware.served - TOLERANCE);
      chai.expect(aware.refusedTwice).to.be.at.most(
        unaware.refusedTwice + TOLERANCE,
      );
      chai.expect(aware.attempts).to.be.at.most(unaware.attempts + TOLERANCE);
      // A refusal must not take longer than the latency target.
      chai.expect(awareOutcome.longestRefusalMs).to.be.at.most(
        pattern.targetMs,
      );
    });
  }

  it("avoids temporarily slow servers that report their slowness", async () => {
    // The mean duration alone follows such short slowdowns too late.
    const SLOWDOWN_MS = 600;
    const pattern: loadSimulations.LoadPattern = {
      ...loadSimulations.LOAD_PATTERNS[0]!,
      name: "one of five servers slow at a time",
      servers: 5,
      slots: 6,
      workMs: 40,
      targetMs: 75,
      boxes: 1,
      durationMs: 20_000,
      getLoad: () => 0.6,
      getSlowness: (server, atMs) =>
        Math.floor(atMs / SLOWDOWN_MS) % 5 === server ? 2.5 : 1,
    };
    const reporting = { ...pattern, tellsSlowness: true };
    const withoutReports = await loadSimulations.simulateLoad(
      pattern,
      SEED,
      true,
    );
    const withReports = await loadSimulations.simulateLoad(
      reporting,
      SEED,
      true,
    );
    const lateWithoutReports = 1 -
      withoutReports.inTarget / withoutReports.asked;
    const lateWithReports = 1 - withReports.inTarget / withReports.asked;
    chai.expect(lateWithReports).to.be.at.most(lateWithoutReports * 0.9);
  });

  it("refuses no request below capacity", async () => {
    const calm = loadSimulations.LOAD_PATTERNS[0]!;
    const outcome = await loadSimulations.simulateLoad(calm, SEED, true);
    chai.expect(outcome.refusedOnce).to.equal(0);
    chai.expect(outcome.inTarget).to.be.at.least(outcome.asked * 0.99);
  });

  it("serves at least 1.5 times as many callers in time at twice the capacity, with at most half the attempts", async () => {
    const overload = loadSimulations.LOAD_PATTERNS.find(({ name }) =>
      name === "twice the capacity"
    )!;
    const unawareOutcome = await loadSimulations.simulateLoad(
      overload,
      SEED,
      false,
    );
    const awareOutcome = await loadSimulations.simulateLoad(
      overload,
      SEED,
      true,
    );
    const gain = (awareOutcome.inTarget / awareOutcome.asked) /
      (unawareOutcome.inTarget / unawareOutcome.asked);
    chai.expect(gain).to.be.at.least(1.5);
    chai.expect(awareOutcome.attempts / awareOutcome.asked).to.be.at.most(
      (unawareOutcome.attempts / unawareOutcome.asked) / 2,
    );
  });
});
