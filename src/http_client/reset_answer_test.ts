import * as chai from "chai";
import * as brokenServers from "../fixtures/broken_server.ts";
import * as fixtures from "./ask_fixture_test.ts";
import type * as httpRequests from "./http_request.ts";

const MB = 1_000_000;
const SHORT_BODY = "abc";
const CLOSE_DELIMITED = "HTTP/1.1 200 OK\r\n\r\npart";
/** On a kept connection the next request may meet the reset. */
const FRESH = { isFreshConnection: true };
const HEAD_ANSWER = "HTTP/1.1 200 OK\r\n\r\n";
/** Requests in a row where what is looked for depends on the scheduling. */
const REPETITIONS = 12;

// Guards against a part of a body that a reset cut short being taken for the whole. A
// server answered a long upload at once with a 200 that had no length, sent part of its
// body and reset the connection; its caller got that part as a complete answer.
describe("answer of a server that resets the connection", () => {
  let server = new brokenServers.BrokenServer();

  beforeEach(async () => {
    server = new brokenServers.BrokenServer();
    await server.start();
  });

  afterEach(() => server.stop());

  /** Asks several times and returns the kinds of the outcomes. */
  async function askRepeatedly(
    body: Buffer | string,
    changes: Partial<httpRequests.HttpRequest> = {},
  ): Promise<ReadonlySet<string>> {
    const kinds = new Set<string>();
    for (let at = 0; at < REPETITIONS; at += 1) {
      kinds.add((await fixtures.ask(server, { body, ...changes })).kind);
    }
    return kinds;
  }

  describe("without a length", () => {
    const BODIES: Readonly<Record<string, Buffer | string>> = {
      "an empty upload": "",
      "a short upload": SHORT_BODY,
      "an upload of 3 MB": Buffer.alloc(3 * MB),
      "an upload of 12 MB": Buffer.alloc(12 * MB),
    };
    for (const [name, body] of Object.entries(BODIES)) {
      for (const isFreshConnection of [false, true]) {
        const way = isFreshConnection ? "a new" : "a pooled";

        it(`is broken if it was reset before all of ${name} was read, on ${way} connection`, async () => {
          server.answer = {
            bytes: CLOSE_DELIMITED,
            end: "reset",
            readsBody: false,
          };
          const kinds = await askRepeatedly(body, { isFreshConnection });
          chai.expect([...kinds]).to.deep.equal(["broken"]);
        });

        it(`is broken if it was reset after ${name}, on ${way} connection`, async () => {
          server.answer = {
            bytes: CLOSE_DELIMITED,
            end: "reset",
            readsBody: true,
          };
          const kinds = await askRepeatedly(body, { isFreshConnection });
          chai.expect([...kinds]).to.deep.equal(["broken"]);
        });

        it(`is whole if it ended in order after ${name}, on ${way} connection`, async () => {
          for (const end of ["end", "close"] as const) {
            server.answer = { bytes: CLOSE_DELIMITED, end, readsBody: true };
            const kinds = await askRepeatedly(body, { isFreshConnection });
            chai.expect([...kinds]).to.deep.equal(["answered"]);
          }
        });
      }
    }

    // Nothing tells such an end from a reset of the connection.
    it("is broken if it ended while the upload was being written", async () => {
      for (const end of ["end", "close"] as const) {
        server.answer = { bytes: CLOSE_DELIMITED, end, readsBody: false };
        const kinds = await askRepeatedly(Buffer.alloc(12 * MB));
        chai.expect([...kinds]).to.deep.equal(["broken"]);
      }
    });

    for (const status of [204, 304]) {
      it(`is whole with status ${status}, which has no body, if it is reset`, async () => {
        server.answer = {
          bytes: `HTTP/1.1 ${status} X\r\n\r\n`,
          end: "reset",
          readsBody: true,
        };
        const kinds = await askRepeatedly(Buffer.alloc(3 * MB), FRESH);
        chai.expect([...kinds]).to.deep.equal(["answered"]);
      });
    }

    it("is whole as an answer to HEAD if it is reset", async () => {
      server.answer = { bytes: HEAD_ANSWER, end: "reset", readsBody: true };
      const kinds = await askRepeatedly("", { ...FRESH, method: "HEAD" });
      chai.expect([...kinds]).to.deep.equal(["answered"]);
    });

    it("tells that the server closed the connection", async () => {
      server.answer = { bytes: CLOSE_DELIMITED, end: "reset", readsBody: true };
      chai.expect(await fixtures.ask(server)).to.deep.include({
        kind: "broken",
        isClosed: true,
      });
    });
  });
});
