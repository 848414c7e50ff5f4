import * as net from "node:net";
import * as chai from "chai";
import * as oneBoxes from "../daemon/one_box_test.ts";
import * as httpClient from "../http_client/mod.ts";

const box = new oneBoxes.OneBox(8);

function sendSync(
  key: string,
  json: unknown = { key },
): Promise<oneBoxes.Answer> {
  return box.send("POST", "/services/app/sync", {
    headers: { "idempotency-key": key },
    json,
  });
}

describe("caller path of one box", function () {
  this.timeout(oneBoxes.TEST_TIMEOUT_MS);

  before(() => box.start());
  after(() => box.stop());

  beforeEach(() => {
    box.responseMode = "answer";
    box.receivedUrls = [];
  });

  it("answers a lookup through the live server though another refuses connections", async () => {
    for (let attempt = 0; attempt < 10; attempt += 1) {
      chai.expect((await box.send("GET", "/services/app/stock?sku=1")).status)
        .to
        .equal(200);
    }
  });

  it("refuses what can't be served, with a numbered error that says nothing ran", async () => {
    const refusals = [
      [
        await box.send("GET", "/services/app/stock", { token: "wrong" }),
        401,
        "badToken",
      ],
      [await box.send("GET", "/nowhere"), 404, "unknownRoute"],
      [
        await box.send("POST", "/services/app/sync", { json: {} }),
        400,
        "missingKey",
      ],
      [
        await box.send("POST", "/services/app/sync", {
          json: { text: "x".repeat(2_000) },
        }),
        413,
        "bodyTooLarge",
      ],
      [
        await box.send("POST", "/v1/completions", { json: { model: 7 } }),
        400,
        "badParameters",
      ],
      [
        await box.send("POST", "/v1/trainers/t/fetch", {
          json: { template: "none", step: 1, trainerVersion: 0 },
        }),
        404,
        "unknownStep",
      ],
    ] as const;
    for (const [answer, status, name] of refusals) {
      chai.expect(answer.status).to.equal(status);
      chai.expect(answer.json.error).to.include({ name, outcome: "notRun" });
    }
    chai.expect(box.receivedUrls).to.deep.equal([]);
  });

  it("gives a half-sent request up in time and runs nothing", async () => {
    const socket = net.connect(8080, box.address);
    socket.write(
      `POST /services/app/sync HTTP/1.1\r\nhost: b\r\nauthorization: Bearer ${oneBoxes.ACCOUNT_TOKEN}\r\nidempotency-key: h\r\ncontent-length: 50\r\n\r\nhalf`,
    );
    const text = await new Promise<string>((resolve) =>
      socket.once("data", (chunk) => resolve(chunk.toString("utf8")))
    );
    socket.destroy();
    chai.expect(text).to.contain("408");
    chai.expect(box.receivedUrls).to.deep.equal([]);
  });

  it("runs a call that must not be repeated once and gives a resend the first answer", async () => {
    const first = await sendSync("k1");
    const resent = await sendSync("k1");
    const changed = await sendSync("k1", { key: "other" });
    chai.expect(first.status).to.equal(200);
    chai.expect(resent).to.deep.equal(first);
    chai.expect(changed.json.error).to.include({
      name: "keyReused",
      outcome: "notRun",
    });
    chai.expect(box.receivedUrls.length).to.equal(1);
  });

  for (const broken of ["truncate", "reset", "swap", "silent"] as const) {
    it(`says unknown when a server does ${broken} to a call that must not be repeated, and never runs it again`, async () => {
      box.responseMode = broken;
      const first = await sendSync(`k-${broken}`);
      box.responseMode = "answer";
      const again = await sendSync(`k-${broken}`);
      chai.expect(first.json.error).to.include({
        name: "backendFailed",
        outcome: "unknown",
      });
      chai.expect(again.json.error).to.include({
        name: "unknownOutcome",
        outcome: "unknown",
      });
      chai.expect(box.receivedUrls.length).to.equal(1);
    });
  }

  for (const broken of ["truncate", "swap"] as const) {
    it(`says unknown, whatever a later try met, to a lookup's caller when a server did ${broken}`, async () => {
      box.responseMode = broken;
      for (let attempt = 0; attempt < 12; attempt += 1) {
        const runsBefore = box.receivedUrls.length;
        const answer = await box.send("GET", "/services/app/stock");
        const hasRun = box.receivedUrls.length > runsBefore;
        chai.expect(answer.json.error.outcome).to.equal(
          hasRun ? "unknown" : "notRun",
        );
      }
      chai.expect(box.receivedUrls.length).to.be.greaterThan(0);
    });
  }

  it("says that nothing ran when an address does not answer", async () => {
    const answer = await httpClient.sendJson({
      baseUrl: box.deadUrl,
      method: "GET",
      path: "/",
      timeoutMs: 500,
    });
    chai.expect(answer.kind === "failure" ? answer.failure : {}).to.include({
      code: "connectFailed",
      outcome: "notRun",
    });
  });
});
