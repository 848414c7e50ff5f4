import * as chai from "chai";
import type * as ledgers from "../stand_ins/ledger.ts";
import * as unknownAfterKill from "./is_unknown_after_kill.ts";

const KILLS: readonly unknownAfterKill.Kill[] = [{
  target: "box-3",
  atMs: 115,
}];
const KILLED: ledgers.CallAttempt = {
  box: "box-3",
  sentMs: 0,
  endedMs: 156,
  outcome: "broken",
};
const UNKNOWN: ledgers.CallAttempt = {
  box: "box-2",
  sentMs: 306,
  endedMs: 2_434,
  outcome: "unknown",
};

function isAllowed(
  tries: readonly ledgers.CallAttempt[],
  changes: Partial<ledgers.CallEntry> = {},
): boolean {
  const call: ledgers.CallEntry = {
    kind: "call",
    operation: "sync",
    callId: "till-1",
    tries,
    isAnswered: false,
    answeredId: "",
    isWhole: false,
    tokens: [],
    prompt: "",
    ...changes,
  };
  return unknownAfterKill.isUnknownAfterKill(call, KILLS);
}

describe("isUnknownAfterKill", () => {
  it("allows a call whose box was killed after it had claimed the call", () => {
    chai.expect(isAllowed([KILLED, UNKNOWN])).to.equal(true);
  });

  const failed: Readonly<Record<string, boolean>> = {
    "a call that may be repeated": isAllowed([KILLED, UNKNOWN], {
      operation: "lookup",
    }),
    "a call without a further attempt": isAllowed([KILLED]),
    "a call that was refused afterwards": isAllowed([
      KILLED,
      { ...UNKNOWN, outcome: "notRun" },
    ]),
    "a call at another box": isAllowed([
      { ...KILLED, box: "box-1" },
      UNKNOWN,
    ]),
    "a call that was sent after the kill": isAllowed([
      { ...KILLED, sentMs: 116 },
      UNKNOWN,
    ]),
    "a call that ended before the kill": isAllowed([
      { ...KILLED, endedMs: 114 },
      UNKNOWN,
    ]),
    "an unknown outcome before the kill": isAllowed([UNKNOWN, KILLED]),
    "an unknown outcome without a kill": isAllowed([UNKNOWN]),
  };
  for (const [name, isAllowedCall] of Object.entries(failed)) {
    it(`does not allow ${name}`, () => {
      chai.expect(isAllowedCall).to.equal(false);
    });
  }
});
