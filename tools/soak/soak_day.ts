import * as fs from "node:fs";
import * as path from "node:path";
import * as sleeps from "../stand_ins/sleep.ts";
import * as dayPlans from "./day_plan.ts";
import * as dayRuns from "./day_run.ts";
import * as engineServices from "./engine_service.ts";
import * as brakes from "./process_brake.ts";
import * as clients from "./soak_client.ts";
import * as fleets from "./soak_fleet.ts";
import * as operators from "./soak_operator.ts";
import * as trainers from "./soak_trainer.ts";
import * as watches from "./store_watch.ts";

/** How a day is played. */
export interface SoakDayOptions {
  readonly seed: number;
  readonly folder: string;
  readonly net: number;
  readonly planFile: string | undefined;
  readonly share: number;
  readonly warmMs: number;
  readonly everyMs: number;
  readonly eventBytes: number;
  readonly catchUpMs: number;
  readonly startSpreadMs: number;
  readonly boundMs: number;
  readonly slowStartMs: number;
}

/** Time from an empty start until the box counted in a quorum. */
export interface Admission {
  readonly box: string;
  /** Undefined where it was not admitted, or no line told it. */
  readonly tookMs: number | undefined;
  /** Last entry that it held then. */
  readonly index: number | undefined;
}

/** What came of a day. */
export interface SoakReport {
  readonly seed: number;
  readonly plan: dayPlans.DayPlan;
  readonly isGood: boolean;
  /** From the restart of all boxes until a store led. */
  readonly leaderMs: number | undefined;
  readonly admissions: readonly Admission[];
  /** Boxes whose processes ended by themselves. */
  readonly ended: readonly string[];
  readonly verdict: trainers.TrainerVerdict;
}

const SETUP_MS = 60_000;
const POLL_MS = 100;
const ENGINES = 12;
const SLOTS = 24;
const LOAD = { groups: 39, itemsPerGroup: 4, bodyBytes: 1_024, desired: 30 };
const EVENTS = { eventsPerItem: 20, runMs: 5_000 };

/** One day on a fleet of its own. */
class SoakDay {
  readonly #options: SoakDayOptions;
  readonly #plan: dayPlans.DayPlan;
  readonly #brake: brakes.ProcessBrake;
  readonly #fleet: fleets.SoakFleet;
  readonly #engines: engineServices.EngineService;
  readonly #operator: operators.SoakOperator;
  readonly #trainer: trainers.SoakTrainer;
  readonly #watch: watches.StoreWatch;
  readonly #dayRun: dayRuns.DayRun;
  readonly #beginMs = Date.now();

  constructor(options: SoakDayOptions) {
    const { seed, folder, net, planFile, share, everyMs } = options;
    this.#options = options;
    this.#plan = planFile === undefined
      ? dayPlans.createPlan(seed)
      : JSON.parse(fs.readFileSync(planFile, "utf8"));
    this.#brake = new brakes.ProcessBrake(share);
    this.#fleet = new fleets.SoakFleet({ ...options, brake: this.#brake });
    const { entries } = this.#fleet;
    this.#engines = new engineServices.EngineService({
      ...EVENTS,
      eventBytes: options.eventBytes,
      net,
      engines: ENGINES,
      slots: SLOTS,
      entries,
    });
    const client = new clients.SoakClient(entries);
    this.#operator = new operators.SoakOperator(client);
    this.#trainer = new trainers.SoakTrainer(client, { ...LOAD, everyMs });
    this.#watch = new watches.StoreWatch(folder);
    this.#dayRun = new dayRuns.DayRun({
      ...options,
      fleet: this.#fleet,
      operator: this.#operator,
      watch: this.#watch,
      tell: (message) => this.#tell(message),
    });
  }

  async run(): Promise<SoakReport> {
    try {
      await this.#setUp();
      void this.#trainer.run();
      await sleeps.sleep(this.#options.warmMs);
      await this.#dayRun.run(this.#plan);
      this.#trainer.stop();
      return await this.#judge();
    } finally {
      this.#trainer.stop();
      this.#engines.stop();
      this.#brake.stop();
      await this.#fleet.killAll();
    }
  }

  async #setUp(): Promise<void> {
    for (const box of this.#fleet.listBoxes()) this.#fleet.start(box);
    await this.#engines.start();
    const isTaken = await this.#operator.putConfiguration(
      Date.now() + SETUP_MS,
    );
    const leader = await this.#awaitLeader(0, Date.now() + SETUP_MS);
    if (!isTaken || leader === undefined) {
      throw new Error("Cannot start the fleet: no store leads");
    }
    this.#fleet.endFirstStart();
    this.#tell("traffic begins");
  }

  async #judge(): Promise<SoakReport> {
    const restartMs = this.#dayRun.getRestartMs();
    const endMs = restartMs + this.#options.boundMs;
    const ledMs = await this.#awaitLeader(restartMs, endMs);
    const verdict = await this.#trainer.judge(endMs);
    const ended = this.#fleet.listFailures();
    const report: SoakReport = {
      seed: this.#options.seed,
      plan: this.#plan,
      isGood: ledMs !== undefined && verdict.faults.length === 0 &&
        ended.length === 0,
      ended,
      leaderMs: ledMs === undefined ? undefined : ledMs - restartMs,
      admissions: this.#listAdmissions(),
      verdict,
    };
    const file = path.join(this.#options.folder, "report.json");
    fs.writeFileSync(file, JSON.stringify(report, undefined, 2));
    return report;
  }

  /** Waits for a store with authority; gives the wall clock, in ms. */
  async #awaitLeader(
    sinceMs: number,
    endMs: number,
  ): Promise<number | undefined> {
    while (Date.now() < endMs) {
      const stores = this.#fleet.listStores();
      if (this.#watch.findLeader(stores, sinceMs) !== undefined) {
        return Date.now();
      }
      await sleeps.sleep(POLL_MS);
    }
    return undefined;
  }

  #listAdmissions(): readonly Admission[] {
    return this.#dayRun.emptyStarts.map(({ box, startMs }) => {
      const line = this.#watch.findAdmission(box, startMs);
      return {
        box: box.name,
        tookMs: line === undefined ? undefined : line.atMs - startMs,
        index: line === undefined
          ? undefined
          : Number(line.fields.get("index")),
      };
    });
  }

  #tell(message: string): void {
    const seconds = ((Date.now() - this.#beginMs) / 1_000).toFixed(1);
    console.log(`soak ${this.#options.seed}: ${seconds} s: ${message}`);
  }
}

/** Plays a day and judges it. */
export function runDay(options: SoakDayOptions): Promise<SoakReport> {
  return new SoakDay(options).run();
}
