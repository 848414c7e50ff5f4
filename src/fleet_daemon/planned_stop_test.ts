import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as plannedStops from "./_planned_stop.ts";

const STOP_MS = 8_000;
/** Callers may use an address answer until 6,000 ms after the signal. */
const ADDRESSES_KEEP_MS = 5_000;
const STEP_MS = 10;

/** An entry role that is busy during the given spans, in ms from the signal. */
class FakeEntry {
  readonly events: string[] = [];
  readonly #clock: clocks.FakeClock;
  #busySpans: readonly (readonly [from: number, until: number])[];
  /** Duration of a request that is read as the listeners close, in ms. */
  crossingMs = 0;
  #hasEndedExchanges = false;

  constructor(
    clock: clocks.FakeClock,
    busySpans: readonly (readonly [from: number, until: number])[],
  ) {
    this.#clock = clock;
    this.#busySpans = busySpans;
  }

  getInFlight(): number {
    if (this.#hasEndedExchanges) return 0;
    const nowMs = this.#clock.getMonotonicMs();
    return this.#busySpans.filter(([from, until]) =>
      from <= nowMs && nowMs < until
    ).length;
  }

  countExchanges(): number {
    return this.getInFlight();
  }

  closeListeners(): void {
    this.#record("closeListeners");
    const nowMs = this.#clock.getMonotonicMs();
    this.#busySpans = [...this.#busySpans, [nowMs, nowMs + this.crossingMs]];
  }

  endExchanges(): void {
    this.#record("endExchanges");
    this.#hasEndedExchanges = true;
  }

  recordCutExchanges(): void {
    this.#record("recordCutExchanges");
  }

  #record(event: string): void {
    this.events.push(`${event} ${this.#clock.getMonotonicMs()}`);
  }
}

describe("planned stop", () => {
  const status = {
    isReady: true,
    isLeaving: false,
    servesUntilMs: Number.POSITIVE_INFINITY,
    ledTerm: 0,
  };
  let clock = new clocks.FakeClock();

  beforeEach(() => {
    clock = new clocks.FakeClock();
    status.isLeaving = false;
    status.servesUntilMs = Number.POSITIVE_INFINITY;
  });

  function createStop(
    entry: FakeEntry | undefined,
    leaveMs = 0,
  ): plannedStops.PlannedStop {
    return new plannedStops.PlannedStop({
      clock,
      log: { write: () => {} } as never,
      bounds: { stopMs: STOP_MS, addressesKeepMs: ADDRESSES_KEEP_MS },
      status,
      entry,
      startLeaving: () => clocks.sleep(clock, leaveMs),
    });
  }

  /** Runs a stop on the fake clock; returns when it ended, in ms. */
  async function runStop(stop: plannedStops.PlannedStop): Promise<number> {
    let isDone = false;
    const done = stop.run().then(() => {
      isDone = true;
    });
    while (!isDone) {
      await new Promise((resolve) => setImmediate(resolve));
      if (!isDone) clock.advance(STEP_MS);
    }
    await done;
    return clock.getMonotonicMs();
  }

  it("ends an idle box once callers no longer use its address", async () => {
    const entry = new FakeEntry(clock, []);
    chai.expect(await runStop(createStop(entry))).to.be.within(6_000, 6_050);
  });

  it("tells from the signal on until when requests are served", async () => {
    const stopped = runStop(createStop(new FakeEntry(clock, []), 400));
    chai.expect(status.isLeaving).to.equal(true);
    chai.expect(status.servesUntilMs).to.be.within(7_800, 7_900);
    await stopped;
  });

  it("counts a slow change of leadership as part of its time", async () => {
    const entry = new FakeEntry(clock, [[0, 60_000]]);
    const endMs = await runStop(createStop(entry, 400));
    chai.expect(endMs).to.be.within(7_800, STOP_MS - 50);
  });

  // Guards against requests that are cut off long before the box is killed.
  it("serves a busy box until shortly before it is killed", async () => {
    const entry = new FakeEntry(clock, [[5_900, 7_400]]);
    const endMs = await runStop(createStop(entry));
    chai.expect(endMs).to.be.within(7_400, STOP_MS - 50);
    chai.expect(entry.events[0]).to.match(/^closeListeners 7[48]/);
  });

  // Guards against a request that is read after the last look at the counter.
  it("lets a request end that arrives while its listeners close", async () => {
    const entry = new FakeEntry(clock, []);
    entry.crossingMs = 1_000;
    const endMs = await runStop(createStop(entry));
    chai.expect(entry.events[0]).to.match(/^closeListeners 60/);
    chai.expect(endMs).to.be.within(7_000, 7_100);
  });

  it("answers what is still in flight at the end, and refuses the rest", async () => {
    const entry = new FakeEntry(clock, [[0, 60_000]]);
    const endMs = await runStop(createStop(entry));
    chai.expect(endMs).to.be.at.most(STOP_MS - 50);
    chai.expect(entry.events.map((event) => event.split(" ")[0])).to.deep.equal(
      ["closeListeners", "endExchanges", "recordCutExchanges"],
    );
    chai.expect(status.servesUntilMs).to.be.at.most(endMs);
  });

  it("ends a box without callers after a short time", async () => {
    chai.expect(await runStop(createStop(undefined))).to.be.within(
      1_000,
      1_020,
    );
  });
});
