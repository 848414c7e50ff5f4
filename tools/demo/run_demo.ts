/**
 * Runs trainers and callers on a deployment while faults are injected, and
 * verifies the run by the ledgers of all processes.
 *
 * @example `npm run demo`
 * @module
 */
import type * as callerRuns from "../stand_ins/run_callers.ts";
import * as ledgers from "../stand_ins/ledger.ts";
import type * as trainerRuns from "../stand_ins/run_trainer.ts";
import * as topologies from "../deployment/topology.ts";
import * as deployments from "../deployment/deployment.ts";
import * as configWatchers from "./config_watcher.ts";
import * as demoOperators from "./demo_operator.ts";
import * as demoReports from "./demo_report.ts";
import * as demoSettings from "./demo_settings.ts";
import * as faultPlans from "./fault_plan.ts";
import * as quantiles from "./quantiles.ts";
import * as ledgerVerification from "./verify_ledgers.ts";
import * as sleeps from "../stand_ins/sleep.ts";

/** A run of the demo. */
class Demo {
  readonly #boxes = topologies.listBoxes(9, 5);
  readonly #servers = topologies.listServers(8, 4);
  readonly #deployment: deployments.Deployment;
  readonly #operator: demoOperators.DemoOperator;
  readonly #configWatcher: configWatchers.ConfigWatcher;
  readonly #faultPlan: faultPlans.FaultPlan;
  #inForceMs: readonly number[] = [];
  #faults: readonly string[] = [];
  #isEnding = false;

  constructor() {
    this.#deployment = new deployments.Deployment({
      folder: demoSettings.FOLDER,
      boxes: this.#boxes,
      servers: this.#servers,
      models: demoSettings.MODELS,
      engine: {
        slots: 16,
        stepMs: 8,
        lengths: demoSettings.LENGTHS,
        swapMs: 150,
        failedSwaps: 0.1,
      },
      plain: { callMs: 5, slots: 32 },
      downloadsPerSecond: 8,
    });
    const urls = this.#boxes.map((box) =>
      `http://${box.address}:${topologies.ADMIN_PORT}`
    );
    this.#operator = new demoOperators.DemoOperator(
      urls,
      deployments.ROOT_TOKEN,
    );
    this.#faultPlan = new faultPlans.FaultPlan({
      deployment: this.#deployment,
      operator: this.#operator,
      print: (message) => this.#print(message),
      addFault: (message) => this.#addFault(message),
    });
    this.#configWatcher = new configWatchers.ConfigWatcher({
      boxes: this.#boxes.map((box) => ({
        box: box.box,
        baseUrl: `http://${box.address}:${topologies.ADMIN_PORT}`,
      })),
      path:
        `/v1/accounts/${demoSettings.WATCHED_ACCOUNT}/templates/${demoSettings.TEMPLATE}`,
      token: deployments.ROOT_TOKEN,
      isUp: (box) => !this.#faultPlan.isDown(box),
    });
  }

  /** Runs the demo; returns whether there were no faults. */
  async run(): Promise<boolean> {
    try {
      this.#print(
        "starting 9 entry boxes, 8 engines, 4 cellar-app servers, weight store, scorer, box list",
      );
      this.#deployment.start();
      await this.#setUp();
      await this.#runJob();
      return this.#finish();
    } finally {
      this.#configWatcher.stop();
      await this.#deployment.stop();
    }
  }

  async #setUp(): Promise<void> {
    const endMs = Date.now() + demoSettings.START_TIMEOUT_MS;
    while (!await this.#isReady()) {
      if (Date.now() > endMs) {
        throw new Error(
          "Cannot start the deployment: not every box has a lease",
        );
      }
      await sleeps.sleep(200);
    }
    for (const item of demoSettings.ACCOUNTS) await this.#createAccount(item);
    this.#configWatcher.start();
    this.#print("client accounts and templates are in force on every box");
  }

  async #isReady(): Promise<boolean> {
    try {
      const status = await this.#operator.runCommand(["status"]) as {
        readonly boxes: readonly unknown[];
        readonly servers: readonly unknown[];
      };
      return status.boxes.length === this.#boxes.length &&
        status.servers.length === this.#servers.length;
    } catch {
      return false;
    }
  }

  async #createAccount(demoAccount: demoSettings.DemoAccount): Promise<void> {
    await this.#operator.sendChange(
      [
        "account",
        "set",
        demoAccount.account,
        `stalenessVersions=${demoAccount.stalenessVersions}`,
        `stalenessMs=${demoAccount.stalenessMs}`,
        "--account-token",
        demoAccount.token,
      ],
      `create-${demoAccount.account}`,
      0,
    );
    await this.#operator.sendChange(
      [
        "template",
        "set",
        demoAccount.account,
        demoSettings.TEMPLATE,
        `trainer=${demoAccount.trainer}`,
        `model=${demoAccount.model}`,
        `groupSize=${demoAccount.groupSize}`,
        `maxTokens=${demoSettings.SAMPLE_TOKENS}`,
      ],
      `create-${demoAccount.account}-${demoSettings.TEMPLATE}`,
      0,
    );
  }

  async #runJob(): Promise<void> {
    const startMs = Date.now();
    const clients = [
      ...demoSettings.ACCOUNTS.map((item) => this.#startTrainer(item)),
      this.#startCallers(
        "till",
        60,
        { syncShare: 0.1, completionShare: 0.15 },
        11,
      ),
      this.#startCallers(
        "depot",
        30,
        { syncShare: 0.1, completionShare: 0.1 },
        12,
      ),
    ];
    const changes = this.#runChanges();
    const faults = this.#faultPlan.run(startMs);
    const progress = setInterval(
      () => this.#reportProgress(startMs),
      demoSettings.PROGRESS_INTERVAL_MS,
    );
    const ended = Promise.all(clients.map((client) => client.ended)).then(
      () => {
        this.#isEnding = true;
      },
    );
    await Promise.all([ended, changes, faults]);
    clearInterval(progress);
    for (const client of clients) {
      if (client.getEnd()?.code !== 0) {
        this.#addFault(
          `${client.name} ended with code ${client.getEnd()?.code}`,
        );
      }
    }
  }

  #startTrainer(demoAccount: demoSettings.DemoAccount) {
    const settings: trainerRuns.TrainerSettings = {
      name: demoAccount.trainer,
      template: demoSettings.TEMPLATE,
      model: demoAccount.model,
      token: demoAccount.token,
      seeds: this.#boxes,
      ledgerFile: this.#deployment.getLedgerFile(
        `trainer-${demoAccount.trainer}`,
      ),
      storeUrl:
        `http://${topologies.WEIGHT_STORE_ADDRESS}:${topologies.PLATFORM_PORT}`,
      steps: 1_000,
      groups: demoAccount.groups,
      groupSize: demoAccount.groupSize,
      trainMs: 1_500,
      maxVersionsBehind: demoAccount.stalenessVersions,
      maxAgeMs: demoAccount.stalenessMs,
      endMs: demoSettings.RUN_MS,
    };
    return this.#deployment.startClient(
      `trainer-${demoAccount.trainer}`,
      "run_trainer",
      settings,
    );
  }

  #startCallers(
    name: string,
    requestsPerSecond: number,
    shares: Pick<callerRuns.CallerSettings, "syncShare" | "completionShare">,
    seed: number,
  ) {
    const settings: callerRuns.CallerSettings = {
      ...shares,
      name,
      token: demoSettings.ACCOUNTS[0]?.token ?? "",
      seeds: this.#boxes,
      ledgerFile: this.#deployment.getLedgerFile(`callers-${name}`),
      service: "cellar-app",
      model: "sommelier-lm",
      seed,
      requestsPerSecond,
      maxTokens: demoSettings.COMPLETION_TOKENS,
      runMs: demoSettings.RUN_MS,
    };
    return this.#deployment.startClient(
      `callers-${name}`,
      "run_callers",
      settings,
    );
  }

  async #runChanges(): Promise<void> {
    const shown = await this.#operator.runCommand([
      "template",
      "show",
      demoSettings.WATCHED_ACCOUNT,
      demoSettings.TEMPLATE,
    ]);
    let { revision } = shown as { readonly revision: number };
    for (let count = 1; !this.#isEnding; count += 1) {
      const sentMs = Date.now();
      const accepted = await this.#operator.sendChange(
        [
          "template",
          "set",
          demoSettings.WATCHED_ACCOUNT,
          demoSettings.TEMPLATE,
          `maxConcurrent=${32 + count}`,
          "--wait-ms",
          "0",
        ],
        `change-${count}`,
        revision,
      );
      revision = accepted.revision;
      const isEverywhere = await this.#configWatcher.waitFor(
        accepted.revision,
        demoSettings.IN_FORCE_TIMEOUT_MS,
      );
      if (!isEverywhere) {
        this.#addFault(
          `revision ${accepted.revision} was not in force after ${demoSettings.IN_FORCE_TIMEOUT_MS} ms`,
        );
      }
      this.#inForceMs = [...this.#inForceMs, Date.now() - sentMs];
      await sleeps.sleep(demoSettings.CHANGE_INTERVAL_MS);
    }
  }

  #finish(): boolean {
    const entries = ledgers.readLedgers(this.#deployment.getLedgerFolder());
    const verdict = ledgerVerification.verifyLedgers(entries, {
      lengths: demoSettings.LENGTHS,
      sampleTokens: demoSettings.SAMPLE_TOKENS,
      completionTokens: demoSettings.COMPLETION_TOKENS,
    });
    const inForce = quantiles.computeQuantiles(this.#inForceMs);
    return demoReports.reportResult({
      ...verdict,
      configChanges: this.#inForceMs.length,
      revertedChanges: this.#configWatcher.countReverted(),
      inForceMs: { p50: inForce.p50, max: inForce.max },
    }, this.#faults);
  }

  #reportProgress(startMs: number): void {
    const entries = ledgers.readLedgers(this.#deployment.getLedgerFolder());
    const steps = entries.filter((entry) => entry.kind === "step").length;
    const samples = entries.filter((entry) => entry.kind === "sample").length;
    const calls = entries.filter((entry) => entry.kind === "call").length;
    const seconds = Math.round((Date.now() - startMs) / 1_000);
    this.#print(
      `${seconds} s: ${steps} steps, ${samples} samples received, ${calls} requests answered, ${this.#inForceMs.length} changes in force`,
    );
  }

  #addFault(message: string): void {
    this.#faults = [...this.#faults, message];
    this.#print(`FAULT ${message}`);
  }

  #print(message: string): void {
    console.log(`demo: ${message}`);
  }
}

process.exitCode = await new Demo().run() ? 0 : 1;
