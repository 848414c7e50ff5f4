import * as chai from "chai";
import * as sendRequest from "./send_request.ts";

const REQUEST = {
  address: "127.0.0.1",
  port: 9,
  method: "POST",
  path: "/x",
  headers: {},
  timeoutMs: 500,
};

describe("exchange", () => {
  // Guards against invalid options throwing instead of failing the request, which
  // would end the process.
  const invalidOptions: Readonly<Record<string, object>> = {
    "an invalid port": { port: 99_999 },
    "an invalid header": { headers: { id: "i\r\n1" } },
    "an invalid path": { path: "/a b" },
  };
  for (const [name, changes] of Object.entries(invalidOptions)) {
    it(`reports a request with ${name} as not sent`, async () => {
      const outcome = await sendRequest.sendRequest({ ...REQUEST, ...changes });
      chai.expect(outcome.kind).to.equal("notSent");
    });
  }
});
