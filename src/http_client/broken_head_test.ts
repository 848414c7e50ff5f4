import * as chai from "chai";
import * as brokenServers from "../fixtures/broken_server.ts";
import type * as httpRequests from "./http_request.ts";
import * as sendRequest from "./send_request.ts";

// Guards against bytes that are no answer being taken for one. Servers in trouble sent
// the status 000, names of fields with a blank or a control byte, codings of the body
// that are not known, and heads that were cut; callers got them as answers.
describe("answer whose head is broken", () => {
  let server = new brokenServers.BrokenServer();
  let count = 0;

  beforeEach(async () => {
    server = new brokenServers.BrokenServer();
    await server.start();
  });

  afterEach(() => server.stop());

  function ask(): Promise<httpRequests.HttpOutcome> {
    count += 1;
    return sendRequest.sendRequest({
      address: "127.0.0.1",
      port: server.getPort(),
      method: "POST",
      path: "/x",
      body: "abc",
      requestId: `id-${count}`,
      timeoutMs: 10_000,
    });
  }

  /** Asserts that bytes fail at once, however their connection ends. */
  async function assertBroken(bytes: string): Promise<void> {
    for (const end of ["none", "end", "reset"] as const) {
      server.answer = { bytes, end, readsBody: true };
      const outcome = await ask();
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
});
