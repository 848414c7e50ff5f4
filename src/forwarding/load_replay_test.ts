import * as uniform from "pure-rand/distribution/uniformInt";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import * as serverFixtures from "../registry/server_fixture_test.ts";
import type * as attempts from "./_attempt.ts";
import type * as jobs from "./forward_job.ts";
import * as forwarders from "./forwarder.ts";
import * as serverLoads from "./server_loads.ts";

/** Time on the way to a server or back, in ms. */
const LINK_MS = 1;
const STEP_MS = 2;
const MS_PER_SECOND = 1_000;
const MAX_DRAW = 999_999;

/** How a replayed load is. */
export interface LoadPattern {
  readonly name: string;
  readonly servers: number;
  readonly slots: number;
  /** Requests that a full server lets wait; it refuses further ones. */
  readonly queue: number;
  readonly workMs: number;
  readonly boxes: number;
  readonly durationMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** Share of the capacity that arrives at a time. */
  readonly getLoad: (atMs: number) => number;
  /** How much slower a server is at a time; undefined where it is gone. */
  readonly getSlowness: (server: number, atMs: number) => number | undefined;
}

/** What callers saw of a replayed load. */
export interface LoadOutcome {
  readonly asked: number;
  readonly inTarget: number;
  readonly served: number;
  /** Callers that were refused at their first try. */
  readonly refusedOnce: number;
  /** Callers that came back as they were told, and were refused again. */
  readonly refusedTwice: number;
  /** Longest time for which a request was held and then refused, in ms. */
  readonly longestRefusalMs: number;
  readonly attempts: number;
}

interface Running {
  readonly finish: () => void;
}

/** A backend server with so many slots and a short queue. */
class FakeServer {
  readonly #clock: clocks.FakeClock;
  readonly #pattern: LoadPattern;
  readonly #index: number;
  readonly #draw: () => number;
  #running = 0;
  #waiting: readonly Running[] = [];
  attempts = 0;

  constructor(
    clock: clocks.FakeClock,
    pattern: LoadPattern,
    index: number,
    draw: () => number,
  ) {
    this.#clock = clock;
    this.#pattern = pattern;
    this.#index = index;
    this.#draw = draw;
  }

  getLoad(): dialects.ServerLoad {
    return { running: this.#running, waiting: this.#waiting.length };
  }

  /** Runs a request, now or later; false where it has no room for it. */
  take(onDone: () => void): boolean {
    this.attempts += 1;
    const run: Running = {
      finish: () => {
        this.#running -= 1;
        onDone();
        const [next, ...rest] = this.#waiting;
        this.#waiting = rest;
        if (next !== undefined) this.#start(next);
      },
    };
    if (this.#running < this.#pattern.slots) this.#start(run);
    else if (this.#waiting.length < this.#pattern.queue) {
      this.#waiting = [...this.#waiting, run];
    } else return false;
    return true;
  }

  #start(run: Running): void {
    this.#running += 1;
    const { workMs, getSlowness } = this.#pattern;
    const atMs = this.#clock.getMonotonicMs();
    const slowness = getSlowness(this.#index, atMs) ?? 1;
    const ms = workMs * slowness * (0.5 + this.#draw());
    this.#clock.startTimer(ms, run.finish);
  }
}

function createDraw(seed: number): () => number {
  const generator = generators.xoroshiro128plus(seed);
  return () => uniform.uniformInt(generator, 0, MAX_DRAW) / (MAX_DRAW + 1);
}

/** Plays a load against the forwarders of some boxes, on a clock of its own. */
class LoadReplay {
  readonly #pattern: LoadPattern;
  readonly #clock = new clocks.FakeClock(0);
  readonly #draw: () => number;
  readonly #servers: readonly FakeServer[];
  readonly #boxes: readonly forwarders.Forwarder[];
  #asked = 0;
  #inTarget = 0;
  #served = 0;
  #refusedOnce = 0;
  #refusedTwice = 0;
  #longestRefusalMs = 0;

  constructor(pattern: LoadPattern, seed: number, weighsLoad: boolean) {
    this.#pattern = pattern;
    this.#draw = createDraw(seed);
    this.#servers = Array.from(
      { length: pattern.servers },
      (_, index) =>
        new FakeServer(this.#clock, pattern, index, () => this.#draw()),
    );
    const known = new registry.ServerRegistry(this.#clock, 1_000_000);
    for (const index of this.#servers.keys()) {
      known.merge(serverFixtures.createServer(`s${index}`, {
        service: "app",
        slots: pattern.slots,
      }));
    }
    this.#boxes = Array.from(
      { length: pattern.boxes },
      () =>
        new forwarders.Forwarder({
          clock: this.#clock,
          log: new logs.Log("box", "error", () => {}),
          servers: known,
          loads: new serverLoads.ServerLoads(this.#clock),
          dialect: {} as unknown as dialects.Dialect,
          failureDomain: "d",
          draw: () => this.#draw(),
          weighsLoad,
          sendAttempt: (options) => this.#sendAttempt(options),
        }),
    );
  }

  async run(): Promise<LoadOutcome> {
    const { servers, slots, workMs, durationMs, getLoad } = this.#pattern;
    const capacity = servers * slots / workMs;
    let dueMs = 0;
    while (this.#clock.getMonotonicMs() < durationMs + 10_000) {
      const nowMs = this.#clock.getMonotonicMs();
      while (dueMs <= nowMs && dueMs < durationMs) {
        const rate = capacity * getLoad(dueMs);
        if (rate > 0) void this.#runCaller();
        dueMs += rate > 0 ? -Math.log(1 - this.#draw()) / rate : STEP_MS;
      }
      this.#clock.extendBy(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
    return {
      asked: this.#asked,
      inTarget: this.#inTarget,
      served: this.#served,
      refusedOnce: this.#refusedOnce,
      refusedTwice: this.#refusedTwice,
      longestRefusalMs: Math.round(this.#longestRefusalMs),
      attempts: this.#servers.reduce((sum, server) => sum + server.attempts, 0),
    };
  }

  /** Asks once, and once more after a refusal, at another box. */
  async #runCaller(): Promise<void> {
    this.#asked += 1;
    const { targetMs, deadlineMs } = this.#pattern;
    const startMs = this.#clock.getMonotonicMs();
    let outcome = await this.#ask(startMs);
    if (outcome.kind === "notRun") {
      this.#refusedOnce += 1;
      const leftMs = startMs + deadlineMs - this.#clock.getMonotonicMs();
      const pauseMs = Math.min(outcome.returnMs, leftMs / 3);
      await clocks.sleep(this.#clock, pauseMs);
      outcome = await this.#ask(startMs);
      if (outcome.kind === "notRun") this.#refusedTwice += 1;
    }
    if (outcome.kind !== "answered") return;
    this.#served += 1;
    const tookMs = this.#clock.getMonotonicMs() - startMs;
    if (tookMs <= targetMs) this.#inTarget += 1;
  }

  async #ask(startMs: number): Promise<jobs.ForwardOutcome> {
    const { targetMs, deadlineMs } = this.#pattern;
    const box = this.#boxes[Math.floor(this.#draw() * this.#boxes.length)];
    const askedMs = this.#clock.getMonotonicMs();
    const outcome = await box!.send({
      requestId: `r${this.#asked}`,
      sender: { kind: "unasked" },
      service: "app",
      method: "GET",
      target: "/",
      headers: {},
      body: Buffer.alloc(0),
      priority: 0,
      targetAtMs: askedMs + targetMs,
      deadlineAtMs: startMs + deadlineMs,
      attempts: 3,
      isRepeatable: true,
      retriesErrors: true,
      hedgeMs: targetMs / 2,
      cancellation: new csp.Cancellation(),
    });
    if (outcome.kind === "notRun") {
      const heldMs = this.#clock.getMonotonicMs() - askedMs;
      this.#longestRefusalMs = Math.max(this.#longestRefusalMs, heldMs);
    }
    return outcome;
  }

  async #sendAttempt(
    options: attempts.AttemptOptions,
  ): Promise<jobs.AttemptOutcome> {
    const index = Number(options.server.id.slice(1));
    const server = this.#servers[index];
    await clocks.sleep(this.#clock, LINK_MS);
    const atMs = this.#clock.getMonotonicMs();
    if (this.#pattern.getSlowness(index, atMs) === undefined) {
      return { kind: "notRun", reason: "the port is dead", isBusy: false };
    }
    const isTaken = await new Promise<boolean>((resolve) => {
      if (server!.take(() => resolve(true)) === false) resolve(false);
      options.cancellation.add(() => resolve(true));
    });
    await clocks.sleep(this.#clock, LINK_MS);
    const load = server!.getLoad();
    if (options.cancellation.isCancelled()) {
      return { kind: "broken", reason: "it was cancelled" };
    }
    if (!isTaken) {
      return { kind: "notRun", reason: "it is full", isBusy: true, load };
    }
    return {
      kind: "answered",
      answer: {
        server: options.server.id,
        status: 200,
        headers: {},
        head: {
          requestId: "r",
          receipt: "r",
          isNotRun: false,
          load,
          weightVersion: undefined,
        },
        body: Buffer.alloc(0),
      },
    };
  }
}

/**
 * Plays a load pattern.
 *
 * @param pattern The load.
 * @param seed Seed of arrivals, work and choices.
 * @param weighsLoad Whether the boxes weigh load; see `ForwarderOptions`.
 * @returns What callers saw.
 */
export function replayLoad(
  pattern: LoadPattern,
  seed: number,
  weighsLoad: boolean,
): Promise<LoadOutcome> {
  return new LoadReplay(pattern, seed, weighsLoad).run();
}

const CALM: Omit<LoadPattern, "name"> = {
  servers: 6,
  slots: 4,
  queue: 2,
  workMs: 40,
  boxes: 6,
  durationMs: 6 * MS_PER_SECOND,
  targetMs: 150,
  deadlineMs: 1_500,
  getLoad: () => 0.6,
  getSlowness: () => 1,
};

/** Loads that are worst for callers, each by what makes it so. */
export const LOAD_PATTERNS: readonly LoadPattern[] = [
  { ...CALM, name: "calm, 0.6 of the capacity" },
  { ...CALM, name: "0.9 of the capacity", getLoad: () => 0.9 },
  { ...CALM, name: "1.2 times the capacity", getLoad: () => 1.2 },
  { ...CALM, name: "twice the capacity", getLoad: () => 2 },
  {
    ...CALM,
    name: "burst of 4 times after a pause",
    getLoad: (atMs) => atMs < 1_000 ? 0 : atMs < 1_400 ? 4 : 0.6,
  },
  {
    ...CALM,
    name: "a third of the servers lost for 3 s at 0.8",
    getLoad: () => 0.8,
    getSlowness: (server, atMs) =>
      server < 2 && atMs > 1_500 && atMs < 4_500 ? undefined : 1,
  },
  {
    ...CALM,
    name: "a third of the servers 3.5 times slower for 3 s at 0.7",
    getLoad: () => 0.7,
    getSlowness: (server, atMs) =>
      server < 2 && atMs > 1_500 && atMs < 4_500 ? 3.5 : 1,
  },
];
