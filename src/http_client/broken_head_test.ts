import * as chai from "chai";
import * as brokenServers from "../fixtures/broken_server.ts";
import * as fixtures from "./ask_fixture_test.ts";

// Guards against bytes that are no answer being taken for one. Servers in trouble sent
// the status 000, names of fields with a blank or a control byte, codings of the body
// that are not known, and heads that were cut; callers got them as answers.
describe("answer whose head is broken", () => {
  let server = new brokenServers.BrokenServer();

  beforeEach(async () => {
    server = new brokenServers.BrokenServer();
    await server.start();
  });

  afterEach(() => server.stop());

  /** Asserts that bytes fail at once, however their connection ends. */
  async function assertBroken(bytes: string): Promise<void> {
    for (const end of ["none", "end", "reset"] as const) {
      server.answer = { bytes, end, readsBody: true };
      const outcome = await fixtures.ask(server);
      chai.expect(outcome).to.include({ kind: "broken" });
      chai.expect(outcome).not.to.include({ message: "the deadline passed" });
    }
  }

  describe("with a status that is no status of an answer", () => {
    const fields: Readonly<Record<string, string>> = {
      "000": "",
      "099": "",
      "101": "",
      "101 with a new protocol": "connection: upgrade\r\nupgrade: x\r\n",
      "600": "",
      "999": "",
    };
    for (const [name, lines] of Object.entries(fields)) {
      it(`is broken: ${name}`, () =>
        assertBroken(
          `HTTP/1.1 ${
            name.slice(0, 3)
          } X\r\n${lines}content-length: 5\r\n\r\nwhole`,
        ));
    }
  });

  describe("with a status line that breaks the grammar", () => {
    const statusLines = [
      "HTTP/2.0 200 OK",
      "HTTP/0.9 200 OK",
      "HTTP/1.1 200 O\x01K",
      "HTTP/1.1 200 O\x7fK",
      "HTTP/1.1 20 OK",
      "HTTP/1.1 2000 OK",
    ];
    for (const line of statusLines) {
      it(`is broken: ${JSON.stringify(line)}`, () =>
        assertBroken(`${line}\r\ncontent-length: 5\r\n\r\nwhole`));
    }
  });

  describe("with a header that breaks the grammar", () => {
    const lines = [
      "x y: 1",
      "x\ty: 1",
      "x\x00y: 1",
      "x\x01y: 1",
      "x\x7fy: 1",
      "x\x80y: 1",
      "x\ry: 1",
      "x : 1",
      ": 1",
      "no colon",
      " folded: 1",
      "x: a\x00b",
      "x: a\x01b",
      "x: a\x7fb",
      "x: a\rb",
      "content-length: 4",
      "content-length: +5",
      "transfer-encoding: chunked",
    ];
    for (const line of lines) {
      it(`is broken: ${JSON.stringify(line)}`, () =>
        assertBroken(
          `HTTP/1.1 200 OK\r\ncontent-length: 5\r\n${line}\r\n\r\nwhole`,
        ));
    }
  });

  describe("in a transfer coding other than chunks", () => {
    const codings = [
      "gzip",
      "xchunked",
      "chunked, gzip",
      "gzip, chunked",
      "identity",
      "",
    ];
    for (const coding of codings) {
      it(`is broken: ${JSON.stringify(coding)}`, () =>
        assertBroken(
          `HTTP/1.1 200 OK\r\ntransfer-encoding: ${coding}\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
        ));
    }

    it("is whole in chunks", async () => {
      server.answer = {
        bytes:
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        end: "none",
        readsBody: true,
      };
      chai.expect((await fixtures.ask(server)).kind).to.equal("answered");
    });
  });

  describe("in a content coding", () => {
    function formatCoded(coding: string): string {
      return `HTTP/1.1 200 OK\r\ncontent-encoding: ${coding}\r\ncontent-length: 5\r\n\r\nwhole`;
    }

    for (const coding of ["gzip", "x, gzip", "identity", ""]) {
      it(`is broken if none was asked for: ${JSON.stringify(coding)}`, () =>
        assertBroken(formatCoded(coding)));
    }

    const ACCEPTED: Readonly<Record<string, string>> = {
      "gzip": "deflate, GZIP;q=0.5",
      "br, gzip": "gzip, br",
      "zstd": "*",
    };
    for (const [coding, accepted] of Object.entries(ACCEPTED)) {
      it(`is whole if it was asked for: ${coding}`, async () => {
        server.answer = {
          bytes: formatCoded(coding),
          end: "none",
          readsBody: true,
        };
        const outcome = await fixtures.ask(server, {
          headers: { "accept-encoding": accepted },
        });
        chai.expect(outcome.kind).to.equal("answered");
      });
    }

    const REFUSED = ["identity", "br", "gzip;q=0", "gzip ; q=0.000"];
    for (const accepted of REFUSED) {
      it(`is broken if another was asked for: ${accepted}`, async () => {
        server.answer = {
          bytes: formatCoded("gzip"),
          end: "none",
          readsBody: true,
        };
        const outcome = await fixtures.ask(server, {
          headers: { "accept-encoding": accepted },
        });
        chai.expect(outcome.kind).to.equal("broken");
      });
    }
  });

  describe("that ends inside its head", () => {
    const HEAD = "HTTP/1.1 200 OK\r\nx-a: 1\r\ncontent-length: 0\r\n\r\n";
    for (let length = 0; length < HEAD.length; length += 1) {
      it(`is broken after ${length} bytes`, async () => {
        for (const end of ["end", "reset"] as const) {
          const bytes = HEAD.slice(0, length);
          server.answer = { bytes, end, readsBody: true };
          chai.expect((await fixtures.ask(server)).kind).to.equal("broken");
        }
      });
    }
  });
});
