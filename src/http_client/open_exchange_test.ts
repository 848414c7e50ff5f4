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
  // A server registered with port 99999. Each try to reach it threw out of the
  // request instead of failing it, which ended the process of the box.
  const invalidOptions: Readonly<Record<string, object>> = {
    "a port that is none": { port: 99_999 },
    "a header that can't be sent": { headers: { id: "i\r\n1" } },
    "a path that can't be sent": { path: "/a b" },
  };
  for (const [name, changes] of Object.entries(invalidOptions)) {
    it(`says that nothing was sent to ${name}`, async () => {
      const outcome = await sendRequest.sendRequest({ ...REQUEST, ...changes });
      chai.expect(outcome.kind).to.equal("notSent");
    });
  }
});
