import * as net from "node:net";
import * as chai from "chai";
import * as oneBoxes from "./one_box_test.ts";

const CALLER_PORT = 8080;
/** Time allowed for the close to reach the caller, in ms. */
const CLOSE_TIME_MS = 1_000;

describe("the planned stop of a daemon", function () {
  this.timeout(oneBoxes.TEST_TIMEOUT_MS);
  const box = new oneBoxes.OneBox(53);
  before(() => box.start());
  after(() => box.stop());

  // Guards against a request that is read while the daemon gives up its
  // leadership, and is cut as the process ends.
  it("leaves no connection open on which a request could still be read", async () => {
    const socket = net.connect(CALLER_PORT, box.address);
    const closed = new Promise((resolve) => socket.on("close", resolve));
    socket.on("error", () => {});
    await new Promise((resolve) => socket.once("connect", resolve));
    box.drain();
    await box.ended;
    const isClosed = await Promise.race([
      closed.then(() => true),
      new Promise((resolve) => setTimeout(() => resolve(false), CLOSE_TIME_MS)),
    ]);
    socket.destroy();
    chai.expect(isClosed).to.equal(true);
  });
});
