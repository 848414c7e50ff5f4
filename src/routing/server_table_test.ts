import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import type * as backendServers from "../backend_server/mod.ts";
import * as clocks from "../clock/mod.ts";
import type * as control from "../control/mod.ts";
import * as engines from "../engine/mod.ts";
import * as serverTables from "./server_table.ts";

const POLL_MS = 100;

/** Clock that counts the sleeps of the table under test. */
class SleepCountingClock extends clocks.FakeClock {
  sleeps = 0;

  override startTimer(
    delayMs: number,
    action: () => void,
  ): clocks.CancelTimer {
    this.sleeps += 1;
    return super.startTimer(delayMs, action);
  }
}

/** Engine stub that reports a start time and serves its prefixes as events. */
class FakeEngine {
  born = 1_000;
  prefixes: string[] = [];
  polls = 0;
  readonly server = http.createServer((request, response) => {
    if (request.url?.startsWith("/v1/cache-events") === true) {
      const query = new URLSearchParams(request.url.split("?")[1]);
      const after = Number(query.get("after"));
      const events = this.prefixes.map((prefix, index) => ({
        sequence: index + 1,
        kind: "stored",
        prefix,
      }));
      response.end(JSON.stringify({ events: events.slice(after) }));
      this.polls += 1;
      return;
    }
    response.end(JSON.stringify({
      born: this.born,
      models: { m: 1 },
      active: 0,
      queued: 0,
      slots: 4,
    }));
  });
}

describe("ServerTable", () => {
  const pair = [new FakeEngine(), new FakeEngine()];
  const [first] = pair;

  before(async () => {
    for (const { server } of pair) {
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
    }
  });

  after(() => {
    for (const { server } of pair) {
      server.closeAllConnections();
      server.close();
    }
  });

  it("drops the prefixes of an engine that restarted", async () => {
    // Guards against a restart between two polls: the event sequence restarts at
    // 1, so reading on from the old position would miss the new events.
    const clock = new SleepCountingClock();
    const servers = pair.map((
      { server },
      index,
    ): backendServers.BackendServer => ({
      id: `e-${index}`,
      service: "lm",
      kind: "language",
      address: "127.0.0.1",
      port: (server.address() as net.AddressInfo).port,
      failureDomain: "d",
      state: "live",
      checksFence: false,
    }));
    const table = new serverTables.ServerTable({
      clock,
      client: {
        getView: () => ({ membership: { servers } }),
      } as unknown as control.ControlClient,
      pollMs: POLL_MS,
      seed: 1,
    });

    /** Runs one round of polls, which ends when the table sleeps again. */
    async function poll(): Promise<void> {
      const before = pair.map(({ polls }) => polls);
      const sleepsBefore = clock.sleeps;
      clock.advance(POLL_MS);
      while (clock.sleeps === sleepsBefore) {
        await new Promise((resolve) => setTimeout(resolve, 1));
      }
      const polled = pair.map(({ polls }, at) => polls > before[at]!);
      chai.expect(polled).to.deep.equal([true, true]);
    }

    /** Call once for each prompt: a choice records the prefix as held. */
    function isRoutedToFirst(prompt: string): boolean {
      const need = {
        service: "lm",
        model: "m",
        use: "caller",
        minVersion: 0,
        excluded: new Set<string>(),
      } as const;
      return table.chooseForPrompt(need, prompt)?.id === "e-0";
    }

    const oldPrompts = ["old 1", "old 2", "old 3"];
    first!.prefixes = oldPrompts.map(engines.hashPrefix);
    table.start();
    await poll();
    chai.expect(isRoutedToFirst("old 1")).to.equal(true);
    first!.born = 2_000;
    first!.prefixes = [engines.hashPrefix("new 1")];
    await poll();
    chai.expect(isRoutedToFirst("new 1")).to.equal(true);
    const newPrompts = Array.from(
      { length: 6 },
      (_, index) => `new ${index + 2}`,
    );
    first!.prefixes = [
      ...first!.prefixes,
      ...newPrompts.map(engines.hashPrefix),
    ];
    await poll();
    for (const prompt of newPrompts) {
      chai.expect(isRoutedToFirst(prompt)).to.equal(true);
    }
    table.stop();
    clock.advance(POLL_MS);
  });
});
