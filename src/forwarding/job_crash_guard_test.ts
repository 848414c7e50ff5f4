import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as guardFixtures from "../fixtures/create_crash_guard.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as registry from "../registry/mod.ts";
import * as jobCrashGuards from "./_job_crash_guard.ts";
import type * as jobs from "./forward_job.ts";
import * as fixtures from "./server_fixture_test.ts";

const STEP_MS = 10;

// Guards against normal work that runs beside the work that crashed its server
// once more, although it had time to wait for a server of its own.
describe("JobCrashGuard", () => {
  const server = registry.createRegisteredServer(
    serverFixtures.createServer("i-1", { service: "app" }),
  );

  /** Returns when the work may first share a server, in ms, if none is free. */
  async function findShareMs(targetMs: number): Promise<number> {
    const clock = new clocks.FakeClock(1_000_000);
    const startMs = clock.getMonotonicMs();
    let sharedAtMs: number | undefined;
    const crashGuard = guardFixtures.createCrashGuard(clock, {
      askGrant: ({ mayShare }) => {
        if (!mayShare) return Promise.resolve({ kind: "busy" });
        sharedAtMs ??= clock.getMonotonicMs();
        return Promise.resolve({ kind: "granted", server: "i-2" });
      },
    });
    const guard = new jobCrashGuards.JobCrashGuard(
      { clock, crashGuard },
      fixtures.createJob(clock, { targetAtMs: startMs + targetMs }),
    );
    const key = guard.createCrashKey(server);
    const outcome = { kind: "broken", reason: "", isClosed: true } as const;
    const ended = { ...outcome, isLifetimeEnded: true };
    await guard.recordAttempt(ended, server, key);
    const requesting = guard.requestGrant(() => ["i-2"]);
    while (sharedAtMs === undefined) {
      clock.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
    await requesting;
    return sharedAtMs - startMs;
  }

  it("shares no server before half of the time to the latency target", async () => {
    chai.expect(await findShareMs(1_000)).to.be.within(500, 600);
  });

  it("shares a server soon if the latency target is near", async () => {
    chai.expect(await findShareMs(150)).to.be.within(80, 120);
  });

  describe("for work that is owed", () => {
    const clock = new clocks.FakeClock(1_000_000);
    let table = new crashRecords.CrashTable();

    beforeEach(() => table = new crashRecords.CrashTable());

    function createGuard(isOwed: boolean): jobCrashGuards.JobCrashGuard {
      const crashGuard = guardFixtures.createCrashGuard(clock, { table });
      return new jobCrashGuards.JobCrashGuard(
        { clock, crashGuard },
        fixtures.createJob(clock, { isOwed }),
      );
    }

    async function crashServers(
      guard: jobCrashGuards.JobCrashGuard,
      ids: readonly string[],
    ): Promise<void> {
      for (const id of ids) {
        const crashed = serverFixtures.createServer(id);
        const key = guard.createCrashKey(crashed);
        const outcome: jobs.AttemptOutcome = {
          kind: "broken",
          reason: "",
          isClosed: true,
          isLifetimeEnded: true,
        };
        await guard.recordAttempt(outcome, crashed, key);
      }
    }

    // Guards against a scoring call of an accepted item that is held back for a
    // day because servers crashed when they ran it.
    it("holds nothing back, however many servers crash", async () => {
      const guard = createGuard(true);
      await crashServers(guard, ["i-1", "i-2", "i-3", "i-4"]);
      chai.expect(guard.getVerdict().kind).to.equal("free");
    });

    it("keeps it apart from a request of the same content", async () => {
      const [owed, request] = [createGuard(true), createGuard(false)];
      await crashServers(owed, ["i-1", "i-2", "i-3"]);
      chai.expect(request.getVerdict().kind).to.equal("free");
      await crashServers(request, ["i-4", "i-5", "i-6"]);
      chai.expect(request.getVerdict().kind).to.equal("heldBack");
      chai.expect(owed.getVerdict().kind).to.equal("free");
    });
  });
});
