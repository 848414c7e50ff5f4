import * as chai from "chai";
import * as checkRequests from "./check_request.ts";

const CUT = { kind: "cut", reason: "socket hang up" } as const;

function check(
  end: checkRequests.EndedRequest["end"],
  elapsedMs: number,
  facts: Partial<checkRequests.RequestFacts> = {},
): string | undefined {
  return checkRequests.checkRequest(
    { id: "r", box: "b", sentAtMs: 1_000, endedAtMs: 1_000 + elapsedMs, end },
    { hasRun: false, boxFailedMs: 0, ...facts },
  );
}

describe("checkRequest", () => {
  it("finds requests that were cut while they ran or were held", () => {
    chai.expect(check(CUT, 20, { hasRun: true })).to.contain("was cut");
    chai.expect(check(CUT, 900)).to.contain("was cut");
  });

  it("finds a refusal of a request that has run", () => {
    const end = { kind: "answered", status: 503 } as const;
    chai.expect(check(end, 20, { hasRun: true })).to.contain("has run");
    chai.expect(check(end, 20)).to.equal(undefined);
  });

  it("allows what is answered, not sent, or closed unread", () => {
    const answered = { kind: "answered", status: 200 } as const;
    chai.expect(check(answered, 4_000, { hasRun: true })).to.equal(undefined);
    chai.expect(check({ kind: "notSent" }, 10)).to.equal(undefined);
    chai.expect(check(CUT, 20)).to.equal(undefined);
  });

  it("allows what was cut by a failure of its box, and no later request", () => {
    const facts = { hasRun: true, boxFailedMs: 1_500 };
    chai.expect(check(CUT, 700, facts)).to.equal(undefined);
    chai.expect(check(CUT, 700, { hasRun: true, boxFailedMs: 900 })).to.contain(
      "was cut",
    );
  });
});
