import * as fs from "node:fs";
import * as path from "node:path";
import * as sleeps from "../stand_ins/sleep.ts";
import * as checkers from "./configuration_checker.ts";
import * as faultPlans from "./fault_plan.ts";
import * as faultInjectors from "./fault_injector.ts";
import * as standInServers from "./stand_in_servers.ts";
import * as throttles from "./cpu_throttle.ts";
import * as callers from "./soak_callers.ts";
import * as clients from "./soak_client.ts";
import * as crowds from "./soak_crowd.ts";
import * as fleets from "./soak_fleet.ts";
import * as operators from "./soak_operator.ts";
import * as trainers from "./soak_trainer.ts";
import * as stopPlans from "./stop_plan.ts";
import * as setWaits from "./set_wait.ts";
import * as storeLogReaders from "./store_log_reader.ts";

/** Seed, load, timing and limits of a scenario. */
export interface SoakScenarioOptions {
  readonly seed: number;
  /** Folder of settings, disks, logs and `report.json`. */
  readonly folder: string;
  /** Third octet of the first of four consecutive /24 subnets. */
  readonly firstSubnet: number;
  /** JSON file with a fault plan; undefined derives the plan from the seed. */
  readonly planFile: string | undefined;
  /** Whether the seed gives a plan of disks lost in series. */
  readonly isSeries: boolean;
  /** Share of a core that each box may use, from 0 to 1. */
  readonly cpuShare: number;
  /** Duration of the traffic before the fault plan begins, in ms. */
  readonly warmUpMs: number;
  /** Time between submissions, in ms. */
  readonly intervalMs: number;
  readonly eventBytes: number;
  /** Least time from the start of an empty box to the next disk loss, in ms. */
  readonly catchUpMs: number;
  /** Time over which the boxes start after a total power loss, in ms. */
  readonly startSpreadMs: number;
  /** Time from the last power loss until everything must be readable, in ms. */
  readonly recoveryTimeoutMs: number;
  /** Longest suspension of a new process before it runs, in ms. */
  readonly maxStartDelayMs: number;
  /** Clients that send requests without end; 0 for none. */
  readonly crowdClients: number;
}

/** Admission of a box to the replica group after a start with an empty disk. */
export interface Admission {
  readonly box: string;
  /** Time from start to admission, in ms; undefined without a log line. */
  readonly tookMs: number | undefined;
  /** Log index of the admission; undefined without a log line. */
  readonly index: number | undefined;
}

/** Outcome of a scenario, written to `report.json`. */
export interface SoakReport {
  readonly seed: number;
  readonly plan: faultPlans.FaultPlan;
  readonly isGood: boolean;
  /** Time from the restart of all boxes to a leader, in ms. */
  readonly leaderMs: number | undefined;
  readonly admissions: readonly Admission[];
  /** How long the stores could not bear the next lost disk, by emptied disk. */
  readonly setWaits: readonly setWaits.SetWait[];
  /** Processes that exited without a request. */
  readonly ended: readonly string[];
  /** Answers that only an older configuration allows. */
  readonly outdated: readonly string[];
  readonly probes: number;
  /** Connections that clients without end have begun. */
  readonly crowdConnections: number;
  /** Requests of callers that were cut, or refused though they had run. */
  readonly lost: readonly string[];
  /** Whole answers to callers, and those from boxes that were being stopped. */
  readonly answers: { readonly all: number; readonly whileStopping: number };
  readonly verdict: trainers.TrainerVerdict;
}

const SETUP_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 100;
/** Losses that the settings of the fleet ask the stores to bear. */
const LOSSES_TO_BEAR = 1;
/** Share of a core from which on {@link SoakReport.setWaits} are bounded. */
const MIN_BOUNDED_SHARE = 0.33;
const ENGINE_COUNT = 12;
const SLOTS_PER_ENGINE = 24;
const LOAD = { groups: 39, itemsPerGroup: 4, bodyBytes: 1_024, desired: 30 };
const EVENT_STREAM = { eventsPerItem: 20, maxRunMs: 5_000 };

/** Runs one scenario on its own fleet. */
class SoakScenario {
  readonly #options: SoakScenarioOptions;
  readonly #plan: faultPlans.FaultPlan;
  readonly #throttle: throttles.CpuThrottle;
  readonly #fleet: fleets.SoakFleet;
  readonly #standIns: standInServers.StandInServers;
  readonly #client: clients.SoakClient;
  readonly #operator: operators.SoakOperator;
  readonly #trainer: trainers.SoakTrainer;
  readonly #checker: checkers.ConfigurationChecker;
  readonly #callers: callers.SoakCallers;
  readonly #crowd: crowds.SoakCrowd;
  readonly #storeLogs: storeLogReaders.StoreLogReader;
  readonly #injector: faultInjectors.FaultInjector;
  readonly #startMs = Date.now();

  constructor(options: SoakScenarioOptions) {
    const {
      seed,
      folder,
      firstSubnet,
      cpuShare,
      intervalMs,
    } = options;
    this.#options = options;
    this.#plan = readPlan(options);
    this.#throttle = new throttles.CpuThrottle(cpuShare);
    this.#fleet = new fleets.SoakFleet({
      ...options,
      throttle: this.#throttle,
    });
    const { entries } = this.#fleet;
    this.#standIns = new standInServers.StandInServers({
      ...EVENT_STREAM,
      eventBytes: options.eventBytes,
      firstSubnet,
      engines: ENGINE_COUNT,
      slots: SLOTS_PER_ENGINE,
      entries,
    });
    this.#client = new clients.SoakClient(entries);
    this.#operator = new operators.SoakOperator(this.#client);
    this.#trainer = new trainers.SoakTrainer(this.#client, {
      ...LOAD,
      intervalMs,
    });
    this.#checker = new checkers.ConfigurationChecker({
      operator: this.#operator,
      fleet: this.#fleet,
      client: this.#client,
    });
    this.#callers = new callers.SoakCallers({
      seed,
      fleet: this.#fleet,
      standIns: this.#standIns,
      getSubmission: () => this.#trainer.getNewestSubmission(),
    });
    this.#crowd = new crowds.SoakCrowd({
      seed,
      clients: options.crowdClients,
      entries,
    });
    this.#storeLogs = new storeLogReaders.StoreLogReader(folder);
    this.#injector = new faultInjectors.FaultInjector({
      ...options,
      fleet: this.#fleet,
      operator: this.#operator,
      storeLogs: this.#storeLogs,
      printProgress: (message) => this.#printProgress(message),
      onStopping: (box) =>
        this.#isChecked() ? this.#callers.useBox(box) : Promise.resolve(),
    });
  }

  async run(): Promise<SoakReport> {
    const load: Promise<void>[] = [];
    try {
      await this.#setUp();
      load.push(this.#trainer.run());
      if (this.#isChecked()) {
        load.push(this.#checker.run(), this.#callers.run());
      }
      this.#crowd.start();
      await sleeps.sleep(this.#options.warmUpMs);
      const stops = stopPlans.createStops(this.#options.seed);
      await this.#injector.run(this.#plan, stops);
      this.#trainer.stop();
      return await this.#createReport();
    } finally {
      this.#crowd.stop();
      this.#callers.stop();
      this.#checker.stop();
      this.#trainer.stop();
      this.#standIns.stop();
      this.#throttle.stop();
      this.#client.stop();
      await this.#fleet.killAll();
      // A call left over from this fleet would reach the next one.
      await Promise.all(load);
    }
  }

  async #setUp(): Promise<void> {
    for (const box of this.#fleet.listBoxes()) this.#fleet.start(box);
    await this.#standIns.start();
    const version = await this.#operator.putConfiguration(
      Date.now() + SETUP_TIMEOUT_MS,
    );
    const leader = await this.#awaitLeader(0, Date.now() + SETUP_TIMEOUT_MS);
    if (version === undefined || leader === undefined) {
      throw new Error(
        "Cannot start the fleet: no leader or configuration not acknowledged",
      );
    }
    this.#fleet.endFirstStart();
    this.#printProgress("traffic begins");
  }

  /** A throttled box is slow all the time, so no bound holds for it. */
  #isChecked(): boolean {
    return this.#options.cpuShare === 1;
  }

  async #createReport(): Promise<SoakReport> {
    const powerRestoredMs = this.#injector.getPowerRestoredMs();
    const deadlineMs = powerRestoredMs + this.#options.recoveryTimeoutMs;
    const leaderAtMs = await this.#awaitLeader(powerRestoredMs, deadlineMs);
    const verdict = await this.#trainer.verifyResults(deadlineMs);
    const waits = await this.#awaitWholeSet(deadlineMs);
    this.#checker.stop();
    this.#callers.stop();
    const lost = this.#callers.listFaults();
    const answers = {
      all: this.#callers.countAnswers(),
      whileStopping: this.#callers.countAnswersWhileStopping(),
    };
    const ended = this.#fleet.listUnexpectedExits();
    const outdated = this.#checker.listFaults();
    const probes = this.#checker.countProbes();
    const report: SoakReport = {
      seed: this.#options.seed,
      plan: this.#plan,
      isGood: leaderAtMs !== undefined && verdict.faults.length === 0 &&
        ended.length === 0 && outdated.length === 0 && lost.length === 0 &&
        !this.#hasLongWait(waits) &&
        (probes > 0 && answers.whileStopping > 0 || !this.#isChecked()),
      ended,
      outdated,
      probes,
      crowdConnections: this.#crowd.countConnections(),
      lost,
      answers,
      leaderMs: leaderAtMs === undefined
        ? undefined
        : leaderAtMs - powerRestoredMs,
      admissions: this.#listAdmissions(),
      setWaits: waits,
      verdict,
    };
    const file = path.join(this.#options.folder, "report.json");
    fs.writeFileSync(file, JSON.stringify(report, undefined, 2));
    return report;
  }

  /** Waits for a leader; returns the wall-clock time in ms, if one appears. */
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

  /** Waits until the stores can bear the next lost disk; lists all waits. */
  async #awaitWholeSet(
    deadlineMs: number,
  ): Promise<readonly setWaits.SetWait[]> {
    for (;;) {
      const lines = this.#storeLogs.readAllLines(this.#fleet.listAllStores());
      const waits = setWaits.measureSetWaits(lines, LOSSES_TO_BEAR);
      const isWhole = waits.every(({ waitMs }) => waitMs !== undefined);
      if (isWhole || Date.now() > deadlineMs) return waits;
      await sleeps.sleep(POLL_INTERVAL_MS);
    }
  }

  #hasLongWait(waits: readonly setWaits.SetWait[]): boolean {
    const { cpuShare, catchUpMs } = this.#options;
    return cpuShare >= MIN_BOUNDED_SHARE &&
      waits.some((wait) => setWaits.hasPassedBound(wait, catchUpMs));
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

/** Reads the plan from its file, or derives it from the seed. */
function readPlan(
  { seed, planFile, isSeries }: SoakScenarioOptions,
): faultPlans.FaultPlan {
  if (planFile !== undefined) {
    return JSON.parse(fs.readFileSync(planFile, "utf8"));
  }
  if (isSeries) return faultPlans.createSeriesPlan(seed);
  return faultPlans.createPlan(seed);
}

/** Runs a scenario and writes its report to `report.json` in the folder. */
export function runScenario(options: SoakScenarioOptions): Promise<SoakReport> {
  return new SoakScenario(options).run();
}
