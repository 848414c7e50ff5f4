import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as results from "../results/mod.ts";
import * as submissionHandlers from "./_submission_handler.ts";

const NOW_MS = 5_000;

describe("submission handler", () => {
  async function acceptUntil(
    deadlineAtMs: number,
  ): Promise<replicaGroups.CallTimeouts> {
    let timeouts: replicaGroups.CallTimeouts | undefined;
    const stores = {
      call: (_method: string, _request: object, given: typeof timeouts) => {
        timeouts = given;
        return Promise.resolve(results.createFailure("noLeader", "none"));
      },
    };
    const handler = new submissionHandlers.SubmissionHandler(
      {
        clock: new clocks.FakeClock(NOW_MS),
        log: { write: () => {} },
        dialect: {
          parseSubmission: () => results.createOk({ items: [] }),
          formatFailure: () => ({ status: 503, headers: {}, body: "" }),
        },
        stores,
        draw: () => 0,
      } as never,
    );
    await handler.accept(
      {
        requestId: "s-1",
        route: { targets: [{ service: "lm", weight: 1 }] },
        sender: { kind: "unasked" },
        body: Buffer.alloc(0),
        deadlineAtMs,
      } as never,
    );
    if (timeouts === undefined) throw new Error("no store was called");
    return timeouts;
  }

  it("answers a submission that no store accepts within its route's timeout", async () => {
    const timeouts = await acceptUntil(NOW_MS + 400);
    chai.expect(timeouts.totalMs).to.equal(400);
    chai.expect(timeouts.tryMs).to.be.at.most(400);
  });

  it("does not wait for a store longer than the usual limit", async () => {
    const { totalMs, tryMs } = await acceptUntil(NOW_MS + 60_000);
    chai.expect(totalMs).to.be.lessThan(10_000).and.greaterThan(tryMs);
  });
});
