import * as chai from "chai";
import type * as httpClient from "../../src/http_client/mod.ts";
import * as sleeps from "../stand_ins/sleep.ts";
import type * as clients from "./soak_client.ts";
import * as soakTrainers from "./soak_trainer.ts";

const LOAD: soakTrainers.TrainerLoad = {
  intervalMs: 60_000,
  groups: 1,
  itemsPerGroup: 2,
  bodyBytes: 8,
  desired: 1,
};
const VERIFY_MS = 2_000;

/** Serves the same results for each submission; counts the reads. */
class FakeClient {
  readonly #results: readonly string[];
  readCount = 0;

  constructor(results: readonly string[]) {
    this.#results = results;
  }

  send(
    request: clients.EntryRequest,
  ): Promise<httpClient.JsonResponse | undefined> {
    this.readCount += 1;
    const after = Number(request.path.split("after_revision=")[1]);
    const results = this.#results.slice(after).map((id) => ({
      id,
      state: "completed",
    }));
    const json = { total: this.#results.length, results };
    return Promise.resolve({ status: 200, json });
  }

  sendUntil(
    _request: clients.EntryRequest,
    _deadlineMs: number,
    [status = 0]: readonly number[],
  ): Promise<httpClient.JsonResponse | undefined> {
    return Promise.resolve({ status, json: undefined });
  }
}

// Guards against a soak that calls a run good whatever its trainer has read.
describe("SoakTrainer", () => {
  async function listFaults(
    results: readonly string[],
  ): Promise<readonly string[]> {
    const client = new FakeClient(results);
    const trainer = new soakTrainers.SoakTrainer(client, LOAD);
    void trainer.run();
    while (client.readCount === 0) await sleeps.sleep(1);
    await sleeps.sleep(1);
    trainer.stop();
    const verdict = await trainer.verifyResults(Date.now() + VERIFY_MS);
    return verdict.faults.map((fault) => fault.split(": ")[1] ?? "");
  }

  it("finds no fault in results that are listed once", async () => {
    chai.expect(await listFaults(["a", "b"])).to.deep.equal([]);
  });

  it("reports a result that is listed twice", async () => {
    chai.expect(await listFaults(["a", "a"])).to.deep.equal([
      "result 1 was listed before",
    ]);
  });

  it("reports more results than items", async () => {
    chai.expect(await listFaults(["a", "b", "c"])).to.deep.equal([
      "result 2 of 2 items",
    ]);
  });
});
