import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as logs from "../log/mod.ts";
import * as boxLimits from "./_compute_box_limits.ts";
import * as crowdRecorders from "./_crowd_recorder.ts";

const BYTES_PER_MB = 1_000_000;
/** Descriptors that files and the process itself need. */
const OTHER_DESCRIPTORS = 264;

describe("limits of a box", () => {
  it("leave part of the descriptors and of the memory to other work", () => {
    for (const memoryMb of [88, 140, 160, 200, 250, 350, 490]) {
      for (const fileDescriptors of [600, 3_075, 4_100, 10_250]) {
        const { heldBytes, connections } = boxLimits.computeBoxLimits({
          memoryMb,
          fileDescriptors,
        });
        const total = Object.values(connections).reduce((a, b) => a + b, 0);
        const sockets = fileDescriptors - OTHER_DESCRIPTORS;
        chai.expect(total).to.be.at.most(0.7 * sockets);
        chai.expect(heldBytes).to.be.within(0, 0.4 * memoryMb * BYTES_PER_MB);
        chai.expect(heldBytes + 60 * BYTES_PER_MB).to.be.at.most(
          0.9 * memoryMb * BYTES_PER_MB,
        );
      }
    }
  });
});

describe("crowd recorder", () => {
  it("counts each event, and logs a second's events of a kind in one line", () => {
    const clock = new clocks.FakeClock();
    const lines: string[] = [];
    const counted: string[] = [];
    const recorder = new crowdRecorders.CrowdRecorder({
      clock,
      log: new logs.Log("b", "info", (line) => lines.push(line)),
      metrics: {
        countClosedConnection: (_listener, reason) => counted.push(reason),
        countRefusedBody: (_listener, reason) => counted.push(reason),
      },
    });
    for (let count = 0; count < 100; count += 1) {
      recorder.record("caller", { kind: "connectionClosed", reason: "share" });
      recorder.record("caller", { kind: "bodyRefused", reason: "memoryShort" });
    }
    chai.expect(counted.length).to.equal(200);
    chai.expect(lines.length).to.equal(2);
    clock.advance(1_000);
    recorder.record("caller", { kind: "connectionClosed", reason: "share" });
    chai.expect(lines.length).to.equal(3);
    chai.expect(lines[2]).to.include("event=connection.closed").and.to.include(
      "count=100",
    );
  });
});
