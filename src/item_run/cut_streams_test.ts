import * as chai from "chai";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as rawServers from "../fixtures/raw_server.ts";
import * as runFixtures from "./run_fixture_test.ts";
import type * as runItem from "./run_item.ts";
import * as textProgresses from "./text_progress.ts";

const FIRST_EVENT = "id: 1\ndata: a\n\n";
/** Beginnings of a second event, by where the stream breaks off. */
const CUT_EVENTS: Readonly<Record<string, Buffer>> = {
  "inside the id line": Buffer.from("id: "),
  "after the id line": Buffer.from("id: 2\n"),
  "inside a character": Buffer.from("id: 2\ndata: ü").subarray(0, -1),
  "before the end of the data line": Buffer.from("id: 2\ndata: b"),
  "after the data line": Buffer.from("id: 2\ndata: b\n"),
  "after the version line": Buffer.from("version: 4\n"),
};

function formatHead(framing: string): string {
  return `HTTP/1.1 200 OK\r\nid: item-1\r\nversion: 3\r\n${framing}\r\n\r\n`;
}

/** Answers without a length, which ends with its connection. */
function formatUnframed(body: Buffer): Buffer {
  return Buffer.concat([Buffer.from(formatHead("connection: close")), body]);
}

/** Answers in chunks that the server ends in order. */
function formatChunked(body: Buffer): Buffer {
  return Buffer.concat([
    Buffer.from(formatHead("transfer-encoding: chunked")),
    Buffer.from(`${body.length.toString(16)}\r\n`),
    body,
    Buffer.from("\r\n0\r\n\r\n"),
  ]);
}

describe("run of an item whose stream is cut", () => {
  let engine = new rawServers.RawServer();

  beforeEach(async () => {
    engine = new rawServers.RawServer();
    await engine.start();
  });

  afterEach(() => engine.stop());

  function run(
    progress: textProgresses.TextProgress,
  ): Promise<runItem.RunOutcome> {
    return runFixtures.runOnce(progress, {
      engine: serverFixtures.createServer("e-raw", { port: engine.getPort() }),
    });
  }

  for (const [place, begun] of Object.entries(CUT_EVENTS)) {
    const body = Buffer.concat([Buffer.from(FIRST_EVENT), begun]);

    // Guards against a crash inside an event of an answer without a length, after
    // which the text is listed as completed without its last events.
    it(`breaks off, without a length, ${place}`, async () => {
      engine.handle = ({ socket }) => socket.end(formatUnframed(body));
      const progress = new textProgresses.TextProgress();
      chai.expect(await run(progress)).to.deep.equal({
        kind: "broken",
        reason: "the stream ended inside an event",
        isClosed: true,
      });
      chai.expect(progress.getText()).to.equal("a");
      chai.expect(progress.getLastId()).to.equal(1);
    });

    // Guards against an engine that ends its answer in order inside an event, after
    // which the text is listed as completed without its last events.
    it(`breaks off, ended in order in chunks, ${place}`, async () => {
      engine.handle = ({ socket }) => socket.write(formatChunked(body));
      const progress = new textProgresses.TextProgress();
      chai.expect(await run(progress)).to.deep.equal({
        kind: "broken",
        reason: "the stream ended inside an event",
        isClosed: false,
      });
      chai.expect(progress.getText()).to.equal("a");
    });
  }

  it("takes the last event of a text whose lines end with CR", async () => {
    const body = Buffer.from("id: 1\rdata: a\r\rid: 2\rdata: b\r\r");
    engine.handle = ({ socket }) => socket.write(formatChunked(body));
    const progress = new textProgresses.TextProgress();
    chai.expect((await run(progress)).kind).to.equal("finished");
    chai.expect(progress.getText()).to.equal("a\nb");
  });
});
