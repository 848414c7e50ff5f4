import * as sleeps from "../stand_ins/sleep.ts";
import type * as layouts from "./fleet_layout.ts";
import * as probePlans from "./probe_plan.ts";
import type * as clients from "./soak_client.ts";
import type * as fleets from "./soak_fleet.ts";
import type * as operators from "./soak_operator.ts";

const CHANGE_INTERVAL_MS = 600;
const CHANGE_TIMEOUT_MS = 10_000;
const PROBE_INTERVAL_MS = 20;
const OK = 200;

/** Dependencies of a {@link ConfigurationChecker}. */
export interface ConfigurationCheckerOptions {
  readonly operator: operators.SoakOperator;
  readonly fleet: fleets.SoakFleet;
  readonly client: clients.SoakClient;
}

/**
 * Changes the configuration while faults are applied, and checks from outside
 * that each entry box obeys every confirmed version in time.
 */
export class ConfigurationChecker {
  readonly #options: ConfigurationCheckerOptions;
  readonly #confirmed = new Map<number, number>();
  readonly #faults: string[] = [];
  #probeCount = 0;
  #isStopped = false;

  constructor(options: ConfigurationCheckerOptions) {
    this.#options = options;
  }

  /** Runs until stopped. */
  async run(): Promise<void> {
    await Promise.all([this.#changeRepeatedly(), this.#probeRepeatedly()]);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Number of probes that were answered. */
  countProbes(): number {
    return this.#probeCount;
  }

  /** Describes each answer that only an older version allows. */
  listFaults(): readonly string[] {
    return this.#faults;
  }

  async #changeRepeatedly(): Promise<void> {
    while (!this.#isStopped) {
      const version = await this.#options.operator.putConfiguration(
        Date.now() + CHANGE_TIMEOUT_MS,
      );
      if (version !== undefined) this.#confirmed.set(version, Date.now());
      await sleeps.sleep(CHANGE_INTERVAL_MS);
    }
  }

  async #probeRepeatedly(): Promise<void> {
    const { entries } = this.#options.fleet;
    for (let round = 0; !this.#isStopped; round += 1) {
      const box = entries[round % entries.length];
      if (box !== undefined) await this.#probeBox(box);
      await sleeps.sleep(PROBE_INTERVAL_MS);
    }
  }

  async #probeBox(box: layouts.SoakBox): Promise<void> {
    await this.#probeRoutes(box);
    await this.#readConfiguration(box);
  }

  /** Probes a route that must be there and one that must be gone. */
  async #probeRoutes(box: layouts.SoakBox): Promise<void> {
    const { fleet, operator } = this.#options;
    const sentAtMs = Date.now();
    const calmSinceMs = fleet.getDisturbedMs(box);
    const due = probePlans.findDueVersion(this.#confirmed, {
      sentAtMs,
      calmSinceMs,
      coreCalmSinceMs: fleet.getCoreDisturbedMs(),
    });
    if (due === undefined) return;
    for (const { version, isServed } of probePlans.listProbes(due)) {
      const status = await this.#probe(box, version);
      const isUndisturbed = fleet.getDisturbedMs(box) === calmSinceMs;
      const isCurrent = operator.getVersion() - due < probePlans.MAX_LEAD;
      if (status === undefined || !isUndisturbed || !isCurrent) continue;
      this.#probeCount += 1;
      if (probePlans.isRouteServed(status) === isServed) continue;
      this.#faults.push(
        `${box.name}: ${status} for the route of ${version}, ${due} is due`,
      );
    }
  }

  async #probe(
    box: layouts.SoakBox,
    version: number,
  ): Promise<number | undefined> {
    const answer = await this.#options.client.sendTo(box, {
      kind: "caller",
      method: "GET",
      path: `${probePlans.createProbePrefix(version)}x`,
      headers: { "x-request-id": `probe-${version}-${Date.now()}` },
    });
    return answer?.status;
  }

  /** Reads the configuration; any box must answer with the newest, or fail. */
  async #readConfiguration(box: layouts.SoakBox): Promise<void> {
    const due = probePlans.findConfirmedVersion(
      this.#confirmed,
      Date.now() - probePlans.BOUND_MS,
    );
    const answer = await this.#options.client.sendTo(box, {
      kind: "control",
      method: "GET",
      path: "/Configuration.Read",
    });
    if (answer?.status !== OK || due === undefined) return;
    const { version } = answer.json as { readonly version: number };
    if (version >= due) return;
    this.#faults.push(`${box.name}: read ${version}, ${due} is due`);
  }
}
