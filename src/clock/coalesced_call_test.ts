import * as chai from "chai";
import * as fakeClocks from "./fake_clock.ts";
import * as coalescedCalls from "./coalesced_call.ts";

describe("gathered call", () => {
  it("acts once for the calls of a while, and again for later ones", () => {
    const clock = new fakeClocks.FakeClock();
    let count = 0;
    const coalesced = new coalescedCalls.CoalescedCall({
      clock,
      delayMs: 30,
      action: () => {
        count += 1;
      },
    });
    coalesced.schedule();
    coalesced.schedule();
    clock.advance(29);
    chai.expect(count).to.equal(0);
    clock.advance(1);
    chai.expect(count).to.equal(1);
    coalesced.schedule();
    clock.advance(30);
    chai.expect(count).to.equal(2);
  });
});
