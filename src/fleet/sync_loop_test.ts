import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as failureRecorders from "./failure_recorder.ts";
import type * as protocol from "./protocol.ts";
import * as syncLoops from "./_sync_loop.ts";

describe("sync loop", () => {
  it("reports a reply that can't be merged, and goes on", async () => {
    // Guards against faults of a build that look like unreachable boxes.
    const clock = new clocks.FakeClock();
    const lines: string[] = [];
    const log = new logs.Log("box", "debug", (line) => lines.push(line));
    const boxMetrics = new metrics.FleetMetrics();
    let replyCount = 0;
    const loop = new syncLoops.SyncLoop({
      clock,
      log,
      failures: new failureRecorders.FailureRecorder({
        log,
        metrics: boxMetrics,
      }),
      peers: {
        get: () => ({
          notify: () => {},
          call: <T>() => Promise.resolve({} as T),
        }),
      },
      chooseRelay: () => "c1",
      listSourceIds: () => ["c1"],
      createRequest: () => ({}) as protocol.SyncRequest,
      onReply: () => {
        replyCount += 1;
        throw new Error("a record lacks its id");
      },
    });
    const running = loop.run();
    for (let round = 0; round < 4; round += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      clock.advance(500);
    }
    loop.stop();
    clock.advance(10_000);
    await running;
    chai.expect(replyCount).to.be.at.least(3);
    chai.expect(lines.join("")).to.contain("event=message.failed")
      .and.contain("a record lacks its id")
      .and.not.contain("fleet.unreachable");
  });
});
