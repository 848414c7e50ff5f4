import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as duties from "../duty/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as protocol from "./protocol.ts";
import * as usageStates from "./usage_state.ts";
import * as usageReporters from "./usage_reporter.ts";
import type * as usageWindows from "./usage_window.ts";

/*
 * A leader whose time of day is some minutes ahead for some seconds has all windows
 * agreed on that have ended by that time, without a request in them. Nothing is
 * taken back: once the clock is right again, all that the boxes count in those
 * windows comes late and is never reported, for as long as the clock was ahead.
 */

const TIMES: usageWindows.WindowTimings = {
  windowMs: 5_000,
  reportDelayMs: 10_000,
};
const START_MS = 1_000_000;
const AHEAD_MS = 300_000;
const AHEAD_FOR_MS = 8_000;
const SETTLED_MS = 30_000;

describe("usage under a leader whose clock was ahead for a while", () => {
  it("is reported once the clock is right again", async () => {
    const clock = new clocks.FakeClock(START_MS);
    const state = new usageStates.UsageState();
    const methods = new Map<string, rpc.RpcHandler>();
    let isSending = false;
    const reporter = new usageReporters.UsageReporter({
      clock,
      state: state,
      times: TIMES,
      log: { write: () => {} } as never,
      metrics: { setUnreportedMs: () => {} } as never,
      dialect: {
        createUsageReport: () => {
          isSending = true;
          return {};
        },
      } as never,
      server: { add: (method, handler) => void methods.set(method, handler) },
      group: {
        hasAuthority: () => true,
        propose: (command: usageStates.UsageCommand) => {
          state.apply(command);
          return Promise.resolve({ kind: "ok" });
        },
      } as unknown as replicaGroups.ReplicaGroup,
      duty: {
        // Nothing is sent here; what is agreed on tells enough.
        canAct: () => {
          const canAct = !isSending;
          isSending = false;
          return canAct;
        },
        getReignMs: () => Number.POSITIVE_INFINITY,
        getName: () => "store-1",
        getFence: () => 1,
      } as unknown as duties.DutyLease,
      endpoint: { address: "127.0.0.1", port: 1 },
    });
    reporter.start();
    async function run(ms: number): Promise<void> {
      for (let left = ms; left > 0; left -= 100) {
        clock.advance(100);
        for (let turn = 0; turn < 4; turn += 1) {
          await new Promise((resolve) => setImmediate(resolve));
        }
      }
    }
    await run(SETTLED_MS);
    clock.stepWall(AHEAD_MS);
    await run(AHEAD_FOR_MS);
    clock.stepWall(-AHEAD_MS);
    const window = Math.floor(clock.getWallMs() / TIMES.windowMs);
    methods.get(protocol.METHODS.tell)?.({
      source: "10.0.0.1 1",
      totals: [{ window, account: "north", count: 7 }],
    } as never);
    await run(SETTLED_MS);
    reporter.stop();
    const closed = state.listUnreported().find((item) =>
      item.window === window
    );
    const description =
      `window ${window}, agreed on up to ${state.getLastClosed()}`;
    chai.expect(closed?.counts, description).to.deep.equal({ north: 7 });
  });
});
