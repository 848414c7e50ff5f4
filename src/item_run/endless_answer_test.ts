import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as endlessAnswers from "../fixtures/endless_answer.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as rawServers from "../fixtures/raw_server.ts";
import * as runFixtures from "./run_fixture_test.ts";
import type * as runItem from "./run_item.ts";
import * as textProgresses from "./text_progress.ts";

const HEAD = "HTTP/1.1 200 OK\r\nid: item-1\r\nversion: 3\r\n\r\n";
const ERROR_HEAD = "HTTP/1.1 500 X\r\nid: item-1\r\n\r\n";
/** Far more than a run may read, and little enough to be sent in any case. */
const MAX_SENT_BYTES = 8 * 1024 * 1024;
const STALL_MS = 800;

// Guards against an engine in trouble whose bytes without end fill the memory of a
// store or hold its runs until their own timeout.
describe("run of an item at an engine that sends bytes without end", () => {
  const engine = new rawServers.RawServer();
  let progress = new textProgresses.TextProgress();

  before(() => engine.start());

  after(() => engine.stop());

  beforeEach(() => progress = new textProgresses.TextProgress());

  function runThere(
    changes: Partial<runItem.RunItemOptions> = {},
  ): Promise<runItem.RunOutcome> {
    return runFixtures.runOnce(progress, {
      engine: serverFixtures.createServer("e-1", { port: engine.getPort() }),
      ...changes,
    });
  }

  const bodies: Readonly<Record<string, readonly [string, string]>> = {
    "a line that never ends": [HEAD, "x".repeat(1_000)],
    "lines of an event that never ends": [HEAD, "data: x\n"],
    "comments": [HEAD, ": x\n"],
    "identifiers without data": [HEAD, "id: 1\n\n"],
    "the body of an error": [ERROR_HEAD, "x".repeat(1_000)],
  };
  for (const [name, [head, piece]] of Object.entries(bodies)) {
    it(`closes the connection on ${name}`, async () => {
      const sent = endlessAnswers.sendWithoutEnd(engine, {
        head,
        piece: () => piece,
        maxBytes: MAX_SENT_BYTES,
      });
      const outcome = await runThere();
      chai.expect(outcome).to.deep.equal({
        kind: "broken",
        reason: "the engine sent more bytes than an answer can have",
        isClosed: false,
      });
      chai.expect((await sent).isClosedByReader).to.equal(true);
      chai.expect(progress.countLocalEvents()).to.equal(0);
    });
  }

  it("discards a text with more events than the item has tokens", async () => {
    const sent = endlessAnswers.sendWithoutEnd(engine, {
      head: HEAD,
      piece: (index) => `id: ${index + 1}\ndata: x\n\n`,
      maxBytes: MAX_SENT_BYTES,
    });
    const outcome = await runThere();
    chai.expect(outcome).to.deep.include({
      kind: "broken",
      reason: "the text has more events than the item has tokens",
    });
    chai.expect((await sent).isClosedByReader).to.equal(true);
    chai.expect(progress.countLocalEvents()).to.equal(0);
  });

  it("closes the connection on events of more bytes than the item can have", async () => {
    const data = "x".repeat(100_000);
    const sent = endlessAnswers.sendWithoutEnd(engine, {
      head: HEAD,
      piece: (index) => `id: ${index + 1}\ndata: ${data}\n\n`,
      maxBytes: MAX_SENT_BYTES,
    });
    chai.expect((await runThere()).kind).to.equal("broken");
    chai.expect((await sent).isClosedByReader).to.equal(true);
  });

  for (const [name, head] of [["stream", HEAD], ["error", ERROR_HEAD]]) {
    it(`gives up a slow ${name} without events after the stall timeout`, async () => {
      const clock = new clocks.FakeClock();
      const sent = endlessAnswers.sendWithoutEnd(engine, {
        head: head ?? "",
        piece: () => {
          clock.advance(10);
          return "x";
        },
        maxBytes: 1_000,
      });
      const outcome = await runThere({ clock, stallTimeoutMs: STALL_MS });
      chai.expect(outcome).to.deep.include({
        reason: "no event was received within the stall timeout",
      });
      chai.expect((await sent).isClosedByReader).to.equal(true);
    });
  }
});
