import * as chai from "chai";
import * as forwardTerms from "./_forward_terms.ts";

const ROUTE = { canResume: false, targetLatencyMs: 1_000 };

describe("computeForwardTerms", () => {
  it("repeats and hedges repeatable requests", () => {
    const route = { ...ROUTE, kind: "repeatable" } as const;
    chai.expect(forwardTerms.computeForwardTerms(route)).to.deep.equal({
      isRepeatable: true,
      isStream: false,
      hedgeMs: 450,
    });
  });

  it("does not hedge sooner than the shortest delay", () => {
    const route = {
      kind: "once",
      canResume: false,
      targetLatencyMs: 1,
    } as const;
    chai.expect(forwardTerms.computeForwardTerms(route).hedgeMs).to.equal(60);
  });

  it("runs other requests and streams once", () => {
    for (const kind of ["once", "stream"] as const) {
      const { isRepeatable } = forwardTerms.computeForwardTerms({
        ...ROUTE,
        kind,
      });
      chai.expect(isRepeatable, kind).to.equal(false);
    }
  });

  // Guards against a stream that may be resumed and fails for its caller once a
  // server breaks it off.
  it("repeats a stream that may be resumed, without hedging it", () => {
    const route = { ...ROUTE, kind: "stream", canResume: true } as const;
    chai.expect(forwardTerms.computeForwardTerms(route)).to.deep.equal({
      isRepeatable: true,
      isStream: true,
      hedgeMs: undefined,
    });
  });
});
