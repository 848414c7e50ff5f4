import type * as net from "node:net";
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
      engine: serverFixtures.createServer("e-raw", {
        port: engine.getPort(),
        born: 1,
      }),
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

  /** Ends a whole stream without a length, then answers reads of the state. */
  function endStreamThen(
    answerRead: (request: rawServers.RawRequest) => void,
    endStream = (socket: net.Socket, answer: Buffer) => void socket.end(answer),
  ): void {
    engine.handle = (request) => {
      const isRead = request.head.includes(runFixtures.STATE_TARGET);
      if (isRead) return answerRead(request);
      endStream(request.socket, formatUnframed(Buffer.from(FIRST_EVENT)));
    };
  }

  const UNVERIFIED: Readonly<Record<string, () => void>> = {
    "nothing listens any more": () => {
      engine.handle = ({ socket }) => {
        engine.stopListening();
        socket.end(formatUnframed(Buffer.from(FIRST_EVENT)));
      };
    },
    "the connection of the read is reset": () => {
      endStreamThen(({ socket }) => socket.resetAndDestroy());
    },
    "another server answers": () => {
      endStreamThen(({ socket }) =>
        socket.write(rawServers.formatRawAnswer(421, {}))
      );
    },
    "a later lifetime answers": () => {
      endStreamThen(({ socket }) =>
        socket.write(rawServers.formatRawAnswer(200, {}, `{"born":2}`))
      );
    },
  };
  for (const [state, prepare] of Object.entries(UNVERIFIED)) {
    // Guards against a crash between two events of an answer without a length,
    // after which the text is listed as completed without its last events.
    it(`breaks off between two events, without a length, if ${state}`, async () => {
      prepare();
      const progress = new textProgresses.TextProgress();
      const end = await run(progress);
      if (end.kind !== "broken") throw new Error(end.kind);
      chai.expect(end.isClosed).to.equal(true);
      chai.expect(end.reason).to.contain("the server was not heard after");
      chai.expect(progress.getText()).to.equal("a");
    });
  }

  for (
    const [state, answer] of Object.entries({
      "its state is read": rawServers.formatRawAnswer(200, {}, `{"born":1}`),
      "it refuses the read": rawServers.formatRawAnswer(503, {}, "{}"),
    })
  ) {
    it(`finishes after an answer without a length if ${state}`, async () => {
      endStreamThen(({ socket }) => socket.write(answer));
      const progress = new textProgresses.TextProgress();
      chai.expect(await run(progress)).to.deep.equal({
        kind: "finished",
        isVerified: true,
      });
      chai.expect(progress.getText()).to.equal("a");
    });
  }

  // Guards against a part of a text that a reset cut short between two events, by a
  // server that lives, being listed as completed.
  it("breaks off between two events, without a length, if it is reset", async () => {
    const state = rawServers.formatRawAnswer(200, {}, `{"born":1}`);
    endStreamThen(
      ({ socket }) => socket.write(state),
      (socket, answer) => {
        socket.write(answer);
        socket.resetAndDestroy();
      },
    );
    const progress = new textProgresses.TextProgress();
    chai.expect(await run(progress)).to.deep.equal({
      kind: "broken",
      reason: "the connection was reset",
      isClosed: true,
    });
    chai.expect(progress.getText()).to.equal("a");
  });

  it("goes on after an unverified end and takes an empty rest for the end", async () => {
    endStreamThen(({ socket }) => socket.resetAndDestroy());
    const progress = new textProgresses.TextProgress();
    chai.expect((await run(progress)).kind).to.equal("broken");
    const heads: string[] = [];
    engine.handle = ({ head, socket }) => {
      heads.push(head);
      const rest = { id: "item-1", version: "3" };
      socket.write(rawServers.formatRawAnswer(200, rest));
    };
    chai.expect(await run(progress)).to.deep.equal({ kind: "finished" });
    chai.expect(heads[0]).to.contain("after: 1");
    chai.expect(progress.getText()).to.equal("a");
  });

  it("takes the last event of a text whose lines end with CR", async () => {
    const body = Buffer.from("id: 1\rdata: a\r\rid: 2\rdata: b\r\r");
    engine.handle = ({ socket }) => socket.write(formatChunked(body));
    const progress = new textProgresses.TextProgress();
    chai.expect((await run(progress)).kind).to.equal("finished");
    chai.expect(progress.getText()).to.equal("a\nb");
  });
});
