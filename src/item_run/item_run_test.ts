import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as runFixtures from "./run_fixture_test.ts";
import type * as runItem from "./run_item.ts";
import * as textProgresses from "./text_progress.ts";

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

describe("runItem", () => {
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
    return runFixtures.runOnce(progress, {
      engine: serverFixtures.createServer("e-1", {
        port: (engine.address() as net.AddressInfo).port,
      }),
      ...changes,
    });
  }

  // Guards against a late surplus answer to an earlier item that is taken for the
  // answer to this one.
  for (const status of [200, 408, 422, 429, 500, 503]) {
    it(`ignores a ${status} that belongs to another item`, async () => {
      const statuses = [status, 200];
      script = (_request, response) => {
        const isForeign = statuses.shift() === status && statuses.length === 1;
        if (!isForeign) {
          writeEvents(response, ["id: 1\ndata: a"]);
          return void response.end();
        }
        response.writeHead(status, {
          id: "item-0",
          version: "3",
          "not-run": "1",
          "content-length": "0",
        });
        response.end();
      };
      const progress = new textProgresses.TextProgress();
      chai.expect(await run(progress)).to.deep.equal({
        kind: "broken",
        reason: "the answer belongs to another request",
        isClosed: false,
      });
      chai.expect((await run(progress)).kind).to.equal("finished");
      chai.expect(progress.countGeneratedEvents()).to.equal(1);
    });
  }

  it("reports the versions of this engine, not those of earlier runs", async () => {
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

  it("reports the engine's version even if it is too old", async () => {
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
    it(`aborts a run with the invalid version "${version}" and ignores later events`, async () => {
      // Guards against an invalid version becoming NaN, which passes the check
      // against the minimum and is stored as null.
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

  it("collects a whole text with each version that generated an event", async () => {
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

  it("resumes after the last complete event of a broken stream", async () => {
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
    "an event id is out of sequence": (_request, response) => {
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
    "event id is missing or not an integer": (_request, response) => {
      writeEvents(response, ["data: a"]);
      response.end();
    },
  };
  for (const [reason, invalidStream] of Object.entries(invalidStreams)) {
    it(`rejects the stream with a reason that contains "${reason}"`, async () => {
      script = invalidStream;
      const end = await run(new textProgresses.TextProgress());
      chai.expect(end.kind).to.equal("broken");
      chai.expect("reason" in end ? end.reason : "").to.contain(reason);
    });
  }

  it("discards a single-version text when the version changes", async () => {
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
    it(`maps ${status} ${JSON.stringify(headers)} to ${kind}`, async () => {
      script = (_request, response) => {
        response.writeHead(status, { id: "item-1", ...headers });
        response.end();
      };
      const end = await run(new textProgresses.TextProgress());
      chai.expect(end.kind).to.equal(kind);
    });
  }

  it("aborts a stalled run and closes its connection", async () => {
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

  it("tracks which events are stored, also after a restore and a reset", () => {
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
