import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as itemFixtures from "../submission/item_fixture_test.ts";
import * as runItem from "./run_item.ts";
import * as textProgresses from "./text_progress.ts";

const ITEM = itemFixtures.createItem("item-1", {
  headers: { "x-kept": "yes" },
  body: Buffer.from("prompt").toString("base64"),
});

/** The parts of a dialect that a run uses. */
const DIALECT = {
  versionField: "version",
  createForwardHeaders: (
    headers: dialects.HeaderMap,
    marks: dialects.ForwardMetadata,
  ) => ({ ...headers, id: marks.requestId, after: String(marks.lastEventId) }),
  parseAnswerHead: (headers: dialects.HeaderMap) => ({
    requestId: headers["id"],
    receipt: undefined,
    isNotRun: headers["not-run"] !== undefined,
    load: undefined,
    weightVersion: headers["version"] === undefined
      ? undefined
      : Number(headers["version"]),
  }),
} as unknown as dialects.Dialect;

type Script = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

function writeEvents(
  response: http.ServerResponse,
  events: readonly string[],
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(200, { id: "item-1", version: "3", ...headers });
  response.write(events.map((event) => `${event}\n\n`).join(""));
}

describe("run of an item", () => {
  let script: Script = () => {};
  let receivedHeaders: http.IncomingHttpHeaders = {};
  const engine = http.createServer((request, response) => {
    receivedHeaders = request.headers;
    script(request, response);
  });

  before((done) => {
    engine.listen(0, "127.0.0.1", done);
  });

  after(() => {
    engine.closeAllConnections();
    engine.close();
  });

  function run(
    progress: textProgresses.TextProgress,
    changes: Partial<runItem.RunItemOptions> = {},
  ): Promise<runItem.RunOutcome> {
    return runItem.runItem({
      clock: new clocks.SystemClock(),
      dialect: DIALECT,
      item: ITEM,
      sender: { kind: "unasked" },
      host: "a.example",
      engine: serverFixtures.createServer("e-1", {
        port: (engine.address() as net.AddressInfo).port,
      }),
      minimumVersion: 2,
      isSingleVersion: false,
      progress,
      stallTimeoutMs: 10_000,
      cancellation: new csp.Cancellation(),
      onEvent: () => {},
      onVersion: () => {},
      ...changes,
    });
  }

  it("tells which versions this engine showed, not those of earlier runs", async () => {
    script = (_request, response) => {
      writeEvents(response, ["id: 2\ndata: b", "version: 4\nid: 3\ndata: c"]);
      response.end();
    };
    const progress = new textProgresses.TextProgress();
    progress.add({ id: 1, data: "a", version: 9 });
    const shown: number[] = [];
    await run(progress, { onVersion: (version) => shown.push(version) });
    chai.expect(shown).to.deep.equal([3, 4]);
  });

  it("tells an engine's version also where it is too old", async () => {
    script = (_request, response) => writeEvents(response, []);
    const shown: number[] = [];
    const end = await run(new textProgresses.TextProgress(), {
      minimumVersion: 5,
      onVersion: (version) => shown.push(version),
    });
    chai.expect(end.kind).to.equal("broken");
    chai.expect(shown).to.deep.equal([3]);
  });

  for (const version of ["four", "-1", "3.5", ""]) {
    it(`ends a run whose version reads "${version}", and believes nothing of it`, async () => {
      // A faulty engine's stream named the version "four": it was noted as not a
      // number, passed every check of age, and stood in the result as null.
      script = (_request, response) => {
        writeEvents(response, ["id: 1\ndata: a", `version: ${version}`]);
        response.write("\n\nid: 2\ndata: b\n\n");
        response.end();
      };
      const progress = new textProgresses.TextProgress();
      const shown: number[] = [];
      const listener = { onVersion: (version: number) => shown.push(version) };
      const end = await run(progress, listener);
      chai.expect(end.kind).to.equal("broken");
      chai.expect(shown).to.deep.equal([3]);
      chai.expect(progress.listVersions()).to.deep.equal([3]);
    });
  }

  it("takes a whole text with every version that made an event of it", async () => {
    script = (_request, response) => {
      writeEvents(response, ["id: 1\ndata: a", "version: 4\nid: 2\ndata: b"]);
      response.end();
    };
    const progress = new textProgresses.TextProgress();
    chai.expect(await run(progress)).to.deep.equal({ kind: "finished" });
    chai.expect(progress.getText()).to.equal("a\nb");
    chai.expect(progress.listVersions()).to.deep.equal([3, 4]);
    chai.expect(receivedHeaders["x-kept"]).to.equal("yes");
    chai.expect(receivedHeaders["after"]).to.equal("undefined");
  });

  it("goes on after the last event, at whatever point the stream broke", async () => {
    script = (_request, response) => {
      writeEvents(response, ["id: 1\ndata: a", "id: 2\ndata: b", "id: 3\nda"]);
      setImmediate(() => response.destroy());
    };
    const progress = new textProgresses.TextProgress();
    chai.expect((await run(progress)).kind).to.equal("broken");
    script = (_request, response) => {
      writeEvents(response, ["id: 3\ndata: c"]);
      response.end();
    };
    chai.expect((await run(progress)).kind).to.equal("finished");
    chai.expect(receivedHeaders["after"]).to.equal("2");
    chai.expect(progress.getText()).to.equal("a\nb\nc");
  });

  const invalidStreams: Readonly<Record<string, Script>> = {
    "an event is missing": (_request, response) => {
      writeEvents(response, ["id: 1\ndata: a", "id: 3\ndata: c"]);
      response.end();
    },
    "belongs to another request": (_request, response) => {
      writeEvents(response, ["id: 1\ndata: a"], { id: "item-2" });
      response.end();
    },
    "older than": (_request, response) => {
      writeEvents(response, ["id: 1\ndata: a"], { version: "1" });
      response.end();
    },
    "has no number": (_request, response) => {
      writeEvents(response, ["data: a"]);
      response.end();
    },
  };
  for (const [reason, invalidStream] of Object.entries(invalidStreams)) {
    it(`is no whole text when ${reason}`, async () => {
      script = invalidStream;
      const end = await run(new textProgresses.TextProgress());
      chai.expect(end.kind).to.equal("broken");
      chai.expect("reason" in end ? end.reason : "").to.contain(reason);
    });
  }

  it("begins a text of one version anew when another would go on with it", async () => {
    const progress = new textProgresses.TextProgress();
    progress.add({ id: 1, data: "a", version: 2 });
    script = (_request, response) => {
      writeEvents(response, ["id: 2\ndata: b"]);
      response.end();
    };
    const end = await run(progress, { isSingleVersion: true });
    chai.expect(end.kind).to.equal("broken");
    chai.expect(progress.getLastId()).to.equal(undefined);
  });

  const statuses = [
    [500, {}, "failed"],
    [422, {}, "impossible"],
    [503, { "not-run": "1" }, "notRun"],
    [421, {}, "notRun"],
    [503, {}, "broken"],
  ] as const;
  for (const [status, headers, kind] of statuses) {
    it(`takes ${status} ${JSON.stringify(headers)} as ${kind}`, async () => {
      script = (_request, response) => {
        response.writeHead(status, { id: "item-1", ...headers });
        response.end();
      };
      const end = await run(new textProgresses.TextProgress());
      chai.expect(end.kind).to.equal(kind);
    });
  }

  it("gives a silent engine up, and closes its connection", async () => {
    const clock = new clocks.FakeClock();
    const closed = new Promise((resolve) => {
      script = (request) => {
        request.socket.once("close", resolve);
        clock.advance(60);
      };
    });
    const end = await run(new textProgresses.TextProgress(), {
      clock,
      stallTimeoutMs: 50,
    });
    chai.expect(end.kind).to.equal("broken");
    await closed;
  });

  it("knows what the stores keep of a text, also after a new beginning", () => {
    const progress = new textProgresses.TextProgress();
    for (let id = 1; id <= 4; id += 1) {
      progress.add({ id, data: `e${id}`, version: 2 });
    }
    progress.markStored(3);
    chai.expect(progress.getUnstoredText()).to.equal("e4");
    chai.expect(progress.countUnstoredEvents()).to.equal(1);
    const later = new textProgresses.TextProgress();
    later.restore({ text: "e1\ne2\ne3", lastId: 3, versions: [2] });
    later.markStored(3);
    later.add({ id: 4, data: "e4", version: 3 });
    chai.expect(later.getUnstoredText()).to.equal("e4");
    chai.expect(later.getText()).to.equal("e1\ne2\ne3\ne4");
    chai.expect(later.listVersions()).to.deep.equal([2, 3]);
    progress.reset();
    chai.expect(progress.getStoredLastId()).to.equal(undefined);
    chai.expect(progress.countResets()).to.equal(1);
  });
});
