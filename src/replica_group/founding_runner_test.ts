import * as clocks from "../clock/mod.ts";
import type * as randomSources from "../fixtures/random_source.ts";
import type * as logs from "../log/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as awaitInitialVoters from "./_await_initial_voters.ts";
import type * as groupFoundings from "./_group_founding.ts";
import * as bootstrapServices from "./bootstrap_service.ts";

const GROUP = "stores";
const CALL_TIMEOUT_MS = 1_000;
const MAX_DELAY_MS = 40;
/** Resolution of the simulated time, in ms. */
const STEP_MS = 5;

/** A box of a simulated first start. */
export interface SimulatedBox {
  readonly id: string;
  /** When its process starts, in ms. */
  readonly startMs: number;
  /** When it is frozen and for how long, in ms. */
  readonly freeze?: { readonly atMs: number; readonly forMs: number };
  /** When its process is killed; it is then started again with its disk, in ms. */
  readonly killMs?: number;
}

/** A cut between two boxes. */
export interface SimulatedCut {
  readonly between: readonly [string, string];
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A first start with faults. */
export interface FoundingSchedule {
  readonly boxes: readonly SimulatedBox[];
  /** Ids of the boxes that are seeds. */
  readonly seeds: readonly string[];
  readonly cuts: readonly SimulatedCut[];
  /** Boxes that the settings expect. */
  readonly least: number;
}

/** What the boxes were told, by box id. */
export type FoundingResult = ReadonlyMap<string, string>;

/** Plays a first start of a group with the real services and clients. */
export class FoundingRunner {
  readonly #clock = new clocks.FakeClock();
  readonly #schedule: FoundingSchedule;
  readonly #random: randomSources.RandomSource;
  readonly #services = new Map<string, bootstrapServices.BootstrapService>();
  readonly #told = new Map<string, string>();
  /** Ids of the groups that boxes were told to found. */
  readonly groupIds = new Set<string>();
  #isStopped = false;

  constructor(
    schedule: FoundingSchedule,
    random: randomSources.RandomSource,
  ) {
    this.#schedule = schedule;
    this.#random = random;
  }

  /** Plays the schedule for a time; returns what each box was told. */
  async run(durationMs: number): Promise<FoundingResult> {
    for (const box of this.#schedule.boxes) this.#scheduleBox(box);
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
      this.#clock.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.#isStopped = true;
    return this.#told;
  }

  #scheduleBox(box: SimulatedBox): void {
    this.#clock.startTimer(box.startMs, () => this.#startBox(box, true));
    if (box.killMs === undefined) return;
    this.#clock.startTimer(box.killMs, () => {
      this.#services.delete(box.id);
      this.#clock.startTimer(500, () => this.#startBox(box, false));
    });
  }

  #startBox(box: SimulatedBox, isFirstStart: boolean): void {
    this.#services.set(
      box.id,
      new bootstrapServices.BootstrapService({
        clock: this.#clock,
        log: { write: () => {} } as unknown as logs.Log,
        server: { add: () => {} } as unknown as rpc.MethodRegistry,
        isFirstStart,
        member: this.#createMember(box),
      }),
    );
    if (isFirstStart) void this.#askSeeds(box);
  }

  #createMember(box: SimulatedBox): groupFoundings.FoundingMember {
    return {
      id: box.id,
      seeds: {
        ids: this.#schedule.seeds,
        prepare: (seed, request) =>
          this.#call(box.id, seed, (service) => service.prepare(request)),
        accept: (seed, request) =>
          this.#call(box.id, seed, (service) => service.accept(request)),
      },
    };
  }

  async #askSeeds(box: SimulatedBox): Promise<void> {
    const { id } = box;
    const services = this.#services;
    const first = services.get(id);
    function isKilled(): boolean {
      return services.get(id) !== first;
    }
    const initial = await awaitInitialVoters.awaitInitialVoters({
      clock: this.#clock,
      seeds: this.#schedule.seeds,
      ask: (seed) =>
        this.#call(box.id, seed, (service) =>
          service.handleRequest({
            group: GROUP,
            id: box.id,
            failureDomain: box.id,
            wanted: this.#schedule.least,
            least: this.#schedule.least,
          })),
      isStopped: () => this.#isStopped || isKilled(),
    });
    if (initial.kind !== "founded" || isKilled()) return;
    this.#told.set(box.id, initial.voters.join());
    if (initial.groupId !== undefined) this.groupIds.add(initial.groupId);
  }

  /** Carries a call and its reply; either may be late or lost. */
  async #call<T>(
    from: string,
    to: string,
    handle: (service: bootstrapServices.BootstrapService) => T,
  ): Promise<T | undefined> {
    const sender = this.#services.get(from);
    return await new Promise((resolve) => {
      this.#clock.startTimer(CALL_TIMEOUT_MS, () => resolve(undefined));
      this.#deliver(from, to, () => {
        const service = this.#services.get(to);
        if (service === undefined) return;
        const reply = handle(service);
        this.#deliver(to, from, () => {
          if (this.#services.get(from) === sender) resolve(reply);
        });
      });
    });
  }

  /** Delivers after the delay of the link, and after the receiver has thawed. */
  #deliver(from: string, to: string, action: () => void): void {
    if (this.#isCut(from, to)) return;
    const delayMs = this.#random.drawInteger(1, MAX_DELAY_MS);
    this.#clock.startTimer(delayMs + this.#getFrozenMs(to), action);
  }

  #isCut(from: string, to: string): boolean {
    const nowMs = this.#clock.getMonotonicMs();
    return this.#schedule.cuts.some(({ between, fromMs, untilMs }) =>
      between.includes(from) && between.includes(to) && from !== to &&
      nowMs >= fromMs && nowMs < untilMs
    );
  }

  #getFrozenMs(id: string): number {
    const nowMs = this.#clock.getMonotonicMs();
    const { freeze } = this.#schedule.boxes.find((box) => box.id === id) ?? {};
    if (freeze === undefined || nowMs < freeze.atMs) return 0;
    return Math.max(0, freeze.atMs + freeze.forMs - nowMs);
  }
}
