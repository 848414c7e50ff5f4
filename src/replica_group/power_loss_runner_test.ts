import * as randomSources from "../fixtures/random_source.ts";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/** Why the voters change: a lost disk, or a voter that is retired. */
export type Cause = "disk" | "retire";

/**
 * What the power loss follows: the plan of a change that adds a voter or removes
 * one, the moment at which an emptied replica has nearly the whole log,
 * or the cause itself.
 */
type Trigger = "voterAdded" | "voterRemoved" | "nearlyAdmitted" | "cause";

/** The voters before and after a planned change. */
interface VoterChange {
  readonly before: readonly string[];
  readonly after: readonly string[];
}

/** A power loss of all boxes around a change of voters or an admission. */
export interface PowerLoss extends simulatedCases.CaseOptions {
  readonly cause: Cause;
  /** Index of the box whose disk is lost first, or which is retired. */
  readonly target: number;
  readonly trigger: Trigger;
  /** Time from the trigger to the power loss, in ms. */
  readonly afterMs: number;
  /** Index of the box whose disk is lost with the power. */
  readonly victim: number;
  /** Unsynced writes of each box that survive. */
  readonly keptWrites: readonly number[];
  /** Delay of each box until it starts again, in ms. */
  readonly startMs: readonly number[];
}

/** Spreads the seeds, as the first draws of close seeds are alike. */
const SEED_FACTOR = 0x9e37_79b1;
const BOX_COUNT = 4;
const START_DELAY_MS = 300;
const MAX_START_DELAY_MS = 1_500;
/** Longest time from the cause to the trigger, in ms. */
const TRIGGER_TIMEOUT_MS = 4_500;
/** Time within which a change is written, sent and committed, in ms. */
const MAX_CHANGE_MS = 150;
/** Longest time from the cause to a power loss that only follows it, in ms. */
const MAX_RANDOM_MS = 5_000;
/** Lag at which a replica that catches up is about to be admitted, in entries. */
const NEAR_LAG_ENTRIES = 48;
const MAX_KEPT_WRITES = 3;
/** Longest time from the last start to a leader, in ms. */
const ELECTION_TIMEOUT_MS = 12_000;
const RETIRE_TIMEOUT_MS = 60_000;

const TRIGGERS = {
  disk: ["voterAdded", "voterRemoved", "nearlyAdmitted", "cause"],
  retire: ["voterAdded", "voterRemoved", "cause"],
} as const;

/**
 * Draws a power loss. Only one disk may be lost at a time: if a lost disk is the
 * cause, the same box loses it again.
 *
 * @param seed The same seed gives the same power loss.
 */
export function drawPowerLoss(seed: number, cause: Cause): PowerLoss {
  const random = new randomSources.RandomSource(
    Math.imul(seed, SEED_FACTOR),
  );
  const target = random.drawInteger(0, BOX_COUNT - 1);
  const trigger = random.pick<Trigger>(TRIGGERS[cause]);
  const maxAfterMs = trigger === "cause" ? MAX_RANDOM_MS : MAX_CHANGE_MS;
  const boxes = Array.from({ length: BOX_COUNT });
  return {
    cause,
    target,
    trigger,
    afterMs: random.drawInteger(0, maxAfterMs),
    victim: cause === "disk" ? target : random.drawInteger(0, BOX_COUNT - 1),
    keptWrites: boxes.map(() => random.drawInteger(0, MAX_KEPT_WRITES)),
    startMs: boxes.map(() =>
      random.drawInteger(START_DELAY_MS, MAX_START_DELAY_MS)
    ),
    syncMs: random.pick([5, 20, 40]),
    entries: random.pick([100, 900]),
    commandsPerS: random.pick([20, 50]),
    commandBytes: 32 * 1_024,
    entryMs: 0.7,
    processorShare: random.pick([1 / 3, 1 / 2, 1]),
  };
}

/**
 * Runs a power loss on a new cluster.
 *
 * @returns The violated invariant, or undefined if all held.
 */
export async function runPowerLoss(
  loss: PowerLoss,
): Promise<string | undefined> {
  const cluster = await simulatedCases.createCluster(loss);
  try {
    return await new PowerLossRunner(loss, cluster).run();
  } finally {
    cluster.close();
  }
}

class PowerLossRunner {
  readonly #loss: PowerLoss;
  readonly #cluster: simulatedClusters.SimulatedCluster;

  constructor(
    loss: PowerLoss,
    cluster: simulatedClusters.SimulatedCluster,
  ) {
    this.#loss = loss;
    this.#cluster = cluster;
  }

  async run(): Promise<string | undefined> {
    const cluster = this.#cluster;
    const { cause, target, afterMs, victim, startMs } = this.#loss;
    if (cause === "disk") this.#wipeDisk(this.#getId(target));
    else this.#retire(this.#getId(target));
    await cluster.run(TRIGGER_TIMEOUT_MS, () => this.#isTriggered());
    await cluster.run(afterMs);
    this.#cutPower(this.#getId(victim));
    const before = electionChecks.describeDisks(cluster.getDisks());
    cluster.listIds().forEach((id, index) => {
      cluster.start([id], startMs[index]);
    });
    const lastStartMs = Math.max(...startMs);
    const hasLeader = await cluster.run(
      lastStartMs + ELECTION_TIMEOUT_MS,
      () => cluster.findLeader() !== undefined,
    );
    if (!hasLeader) return `no leader after the power loss: ${before}`;
    const fault = simulatedCases.findSafetyFault(cluster);
    if (fault !== undefined) return `${fault}: ${before}`;
    await cluster.run(lastStartMs + simulatedCases.CATCH_UP_MS);
    const disks = cluster.getDisks();
    const fatalLoss = electionChecks.findFatalLoss(disks);
    if (fatalLoss === undefined) return undefined;
    const after = electionChecks.describeDisks(disks);
    return `no leader without ${fatalLoss}: ${after}; before: ${before}`;
  }

  #getId(index: number): string {
    return this.#cluster.listIds()[index] ?? "";
  }

  #wipeDisk(id: string): void {
    this.#cluster.cutPowerAndWipe(id);
    this.#cluster.start([id], START_DELAY_MS);
  }

  #retire(id: string): void {
    const leader = this.#cluster.findLeader();
    if (leader === undefined) return;
    void this.#cluster.get(leader).getGroup()?.propose(
      { kind: "retireBox", box: id },
      RETIRE_TIMEOUT_MS,
    );
  }

  #isTriggered(): boolean {
    switch (this.#loss.trigger) {
      case "cause":
        return true;
      case "voterAdded":
        return this.#listChanges().some(({ before, after }) =>
          after.some((id) => !before.includes(id))
        );
      case "voterRemoved":
        return this.#listChanges().some(({ before, after }) =>
          before.some((id) => !after.includes(id))
        );
      case "nearlyAdmitted":
        return this.#hasNearlyAdmitted();
    }
  }

  /** Lists the changes that leaders have planned, by their voters. */
  #listChanges(): readonly VoterChange[] {
    return this.#cluster.logRecords.flatMap(({ event, fields }) =>
      event === "group.changing"
        ? [{
          before: String(fields["voters"]).split(","),
          after: String(fields["planned"]).split(","),
        }]
        : []
    );
  }

  #hasNearlyAdmitted(): boolean {
    const disks = [...this.#cluster.getDisks().values()];
    const lastIndex = Math.max(...disks.map((disk) => disk.lastIndex));
    return disks.some((disk) =>
      !disk.isAdmitted && lastIndex - disk.lastIndex <= NEAR_LAG_ENTRIES
    );
  }

  #cutPower(victim: string): void {
    const cluster = this.#cluster;
    cluster.listIds().forEach((id, index) => {
      cluster.cutPower([id], this.#loss.keptWrites[index]);
    });
    cluster.get(victim).disk.wipe();
  }
}
