import * as fs from "node:fs";
import * as path from "node:path";
import * as sleeps from "../stand_ins/sleep.ts";
import * as faultPlans from "./fault_plan.ts";
import * as faultInjectors from "./fault_injector.ts";
import * as standInServers from "./stand_in_servers.ts";
import * as throttles from "./cpu_throttle.ts";
import * as clients from "./soak_client.ts";
import * as fleets from "./soak_fleet.ts";
import * as operators from "./soak_operator.ts";
import * as trainers from "./soak_trainer.ts";
import * as storeLogReaders from "./store_log_reader.ts";

/** How a day is played. */
export interface SoakScenarioOptions {
  readonly seed: number;
  readonly folder: string;
  readonly firstSubnet: number;
  readonly planFile: string | undefined;
  readonly cpuShare: number;
  readonly warmUpMs: number;
  readonly intervalMs: number;
  readonly eventBytes: number;
  readonly catchUpMs: number;
  readonly startSpreadMs: number;
  readonly recoveryTimeoutMs: number;
  readonly maxStartDelayMs: number;
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
  readonly plan: faultPlans.FaultPlan;
  readonly isGood: boolean;
  /** From the restart of all boxes until a store led. */
  readonly leaderMs: number | undefined;
  readonly admissions: readonly Admission[];
  /** Boxes whose processes ended by themselves. */
  readonly ended: readonly string[];
  readonly verdict: trainers.TrainerVerdict;
}

const SETUP_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 100;
const ENGINE_COUNT = 12;
const SLOTS_PER_ENGINE = 24;
const LOAD = { groups: 39, itemsPerGroup: 4, bodyBytes: 1_024, desired: 30 };
const EVENT_STREAM = { eventsPerItem: 20, maxRunMs: 5_000 };

/** One day on a fleet of its own. */
class SoakScenario {
  readonly #options: SoakScenarioOptions;
  readonly #plan: faultPlans.FaultPlan;
  readonly #throttle: throttles.CpuThrottle;
  readonly #fleet: fleets.SoakFleet;
  readonly #standIns: standInServers.StandInServers;
  readonly #operator: operators.SoakOperator;
  readonly #trainer: trainers.SoakTrainer;
  readonly #storeLogs: storeLogReaders.StoreLogReader;
  readonly #injector: faultInjectors.FaultInjector;
  readonly #startMs = Date.now();

  constructor(options: SoakScenarioOptions) {
    const {
      seed,
      folder,
      firstSubnet: firstSubnet,
      planFile,
      cpuShare: cpuShare,
      intervalMs: intervalMs,
    } = options;
    this.#options = options;
    this.#plan = planFile === undefined
      ? faultPlans.createPlan(seed)
      : JSON.parse(fs.readFileSync(planFile, "utf8"));
    this.#throttle = new throttles.CpuThrottle(cpuShare);
    this.#fleet = new fleets.SoakFleet({
      ...options,
      throttle: this.#throttle,
    });
    const { entries } = this.#fleet;
    this.#standIns = new standInServers.StandInServers({
      ...EVENT_STREAM,
      eventBytes: options.eventBytes,
      firstSubnet: firstSubnet,
      engines: ENGINE_COUNT,
      slots: SLOTS_PER_ENGINE,
      entries,
    });
    const client = new clients.SoakClient(entries);
    this.#operator = new operators.SoakOperator(client);
    this.#trainer = new trainers.SoakTrainer(client, {
      ...LOAD,
      intervalMs: intervalMs,
    });
    this.#storeLogs = new storeLogReaders.StoreLogReader(folder);
    this.#injector = new faultInjectors.FaultInjector({
      ...options,
      fleet: this.#fleet,
      operator: this.#operator,
      storeLogs: this.#storeLogs,
      printProgress: (message) => this.#printProgress(message),
    });
  }

  async run(): Promise<SoakReport> {
    try {
      await this.#setUp();
      void this.#trainer.run();
      await sleeps.sleep(this.#options.warmUpMs);
      await this.#injector.run(this.#plan);
      this.#trainer.stop();
      return await this.#createReport();
    } finally {
      this.#trainer.stop();
      this.#standIns.stop();
      this.#throttle.stop();
      await this.#fleet.killAll();
    }
  }

  async #setUp(): Promise<void> {
    for (const box of this.#fleet.listBoxes()) this.#fleet.start(box);
    await this.#standIns.start();
    const isAcknowledged = await this.#operator.putConfiguration(
      Date.now() + SETUP_TIMEOUT_MS,
    );
    const leader = await this.#awaitLeader(0, Date.now() + SETUP_TIMEOUT_MS);
    if (!isAcknowledged || leader === undefined) {
      throw new Error("Cannot start the fleet: no store leads");
    }
    this.#fleet.endFirstStart();
    this.#printProgress("traffic begins");
  }

  async #createReport(): Promise<SoakReport> {
    const powerRestoredMs = this.#injector.getPowerRestoredMs();
    const deadlineMs = powerRestoredMs + this.#options.recoveryTimeoutMs;
    const leaderAtMs = await this.#awaitLeader(powerRestoredMs, deadlineMs);
    const verdict = await this.#trainer.verifyResults(deadlineMs);
    const ended = this.#fleet.listUnexpectedExits();
    const report: SoakReport = {
      seed: this.#options.seed,
      plan: this.#plan,
      isGood: leaderAtMs !== undefined && verdict.faults.length === 0 &&
        ended.length === 0,
      ended,
      leaderMs: leaderAtMs === undefined
        ? undefined
        : leaderAtMs - powerRestoredMs,
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
    deadlineMs: number,
  ): Promise<number | undefined> {
    while (Date.now() < deadlineMs) {
      const stores = this.#fleet.listStores();
      if (this.#storeLogs.findLeader(stores, sinceMs) !== undefined) {
        return Date.now();
      }
      await sleeps.sleep(POLL_INTERVAL_MS);
    }
    return undefined;
  }

  #listAdmissions(): readonly Admission[] {
    return this.#injector.emptyDiskStarts.map(({ box, startMs }) => {
      const line = this.#storeLogs.findAdmission(box, startMs);
      return {
        box: box.name,
        tookMs: line === undefined ? undefined : line.atMs - startMs,
        index: line === undefined
          ? undefined
          : Number(line.fields.get("index")),
      };
    });
  }

  #printProgress(message: string): void {
    const seconds = ((Date.now() - this.#startMs) / 1_000).toFixed(1);
    console.log(`soak ${this.#options.seed}: ${seconds} s: ${message}`);
  }
}

/** Plays a day and judges it. */
export function runScenario(options: SoakScenarioOptions): Promise<SoakReport> {
  return new SoakScenario(options).run();
}
