import * as chai from "chai";
import * as httpClient from "../http_client/mod.ts";
import * as oneBoxes from "../daemon/one_box_test.ts";

const box = new oneBoxes.OneBox(9);

describe("operators at one box", function () {
  this.timeout(oneBoxes.TEST_TIMEOUT_MS);

  before(() => box.start());
  after(() => box.stop());

  it("refuses a change against another revision and one of another account", async () => {
    const change = {
      baseRevision: 99,
      requestId: "late",
      parameters: { trainer: "t", model: "m" },
    };
    const late = await box.send("PUT", "/v1/accounts/cascade/templates/notes", {
      json: change,
      port: 8081,
    });
    const foreign = await box.send(
      "PUT",
      "/v1/accounts/other/templates/notes",
      {
        json: change,
        port: 8081,
      },
    );
    chai.expect(late.json.error).to.include({
      name: "wrongRevision",
      outcome: "notRun",
    });
    chai.expect(foreign.json.error).to.include({
      name: "forbidden",
      outcome: "notRun",
    });
  });

  it("numbers every bad request of an operator and changes nothing", async () => {
    const valid = {
      baseRevision: 0,
      requestId: "x",
      parameters: { trainer: "t", model: "m" },
    };
    const refusals = [
      [
        await box.send("GET", "/v1/accounts/nobody", {
          port: 8081,
          token: oneBoxes.ROOT_TOKEN,
        }),
        "unknownAccount",
      ],
      [
        await box.send("PUT", "/v1/accounts/nobody/templates/notes", {
          port: 8081,
          token: oneBoxes.ROOT_TOKEN,
          json: valid,
        }),
        "unknownAccount",
      ],
      [
        await box.send("GET", "/v1/accounts/cascade/templates/none", {
          port: 8081,
        }),
        "unknownTemplate",
      ],
      [
        await box.send("PUT", "/v1/accounts/cascade/templates/notes", {
          port: 8081,
          json: { ...valid, requestId: "y", parameters: { groupSize: 0 } },
        }),
        "badParameters",
      ],
      [
        await box.send("PUT", "/v1/accounts/cascade/templates/notes", {
          port: 8081,
          json: { ...valid, extra: 1 },
        }),
        "badParameters",
      ],
      [
        await box.send("PUT", "/v1/accounts/cascade/templates/notes", {
          port: 8081,
          json: [],
        }),
        "malformedBody",
      ],
      [
        await box.send("PUT", "/v1/accounts/cascade", { port: 8081, json: {} }),
        "forbidden",
      ],
      [
        await box.send("PUT", "/v1/servers/app-0/role", {
          port: 8081,
          json: {},
        }),
        "forbidden",
      ],
      [
        await box.send("GET", "/v1/status", { port: 8081, token: "wrong" }),
        "badToken",
      ],
      [await box.send("GET", "/v1/nowhere", { port: 8081 }), "unknownRoute"],
    ] as const;
    for (const [answer, name] of refusals) {
      chai.expect(answer.json.error).to.include({ name, outcome: "notRun" });
    }
    const audit = await box.send("GET", "/v1/audit", {
      port: 8081,
      token: oneBoxes.ROOT_TOKEN,
    });
    const { records } = audit.json as unknown as {
      readonly records: readonly unknown[];
    };
    chai.expect(records.length).to.equal(1);
  });

  it("refuses a body that is not JSON", async () => {
    const outcome = await httpClient.sendRequest({
      address: box.address,
      port: 8081,
      method: "PUT",
      path: "/v1/accounts/cascade/templates/notes",
      headers: { authorization: `Bearer ${oneBoxes.ACCOUNT_TOKEN}` },
      body: '{"baseRevision": 0,',
      timeoutMs: 5_000,
    });
    const text = outcome.kind === "answered"
      ? outcome.body.toString("utf8")
      : "";
    chai.expect(text).to.contain("malformedBody");
  });

  it("changes the log level of a running box, and only to one that exists", async () => {
    const change = { port: 8081, token: oneBoxes.ROOT_TOKEN };
    const set = await box.send("PUT", "/v1/log-level", {
      ...change,
      json: { level: "error" },
    });
    const wrong = await box.send("PUT", "/v1/log-level", {
      ...change,
      json: { level: "loud" },
    });
    chai.expect(set.status).to.equal(200);
    chai.expect(wrong.json.error).to.include({ name: "badParameters" });
  });
});
