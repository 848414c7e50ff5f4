import * as randomSources from "../fixtures/random_source.ts";
import * as electionChecks from "./election_check_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/**
 * Which disk is lost next, chosen when the loss is due: of an admitted follower
 * that votes, of the leader, the one that was emptied first, or that of each
 * box in turn from the last box on.
 */
export type VictimChoice = "voter" | "leader" | "oldest" | "turn";

/** Pauses of the process that leads, or of each process. */
export interface Pauses {
  readonly target: "leader" | "all";
  readonly seed: number;
}

/** A cluster and the disks that it loses in series. */
export interface DiskSeries extends simulatedCases.CaseOptions {
  readonly choice: VictimChoice;
  /** Number of lost disks; all boxes lose power with the last one. */
  readonly losses: number;
  /** Time from the loss of a disk to the start of its box, in ms. */
  readonly startDelayMs: number;
  /** Pauses of processes, as on overloaded machines; none by default. */
  readonly pauses?: Pauses;
}

/** The result of a series of losses. */
export interface SeriesOutcome {
  /** The first violated invariant; undefined if all held. */
  readonly violation: string | undefined;
  /** Losses and changes of leader, with their times in ms. */
  readonly events: readonly string[];
}

/** Longest time from the last loss to a leader, in ms. */
const ELECTION_TIMEOUT_MS = 12_000;
/** Interval between looks at the leaders, in ms. */
const OBSERVE_INTERVAL_MS = 5;
const MIN_PAUSE_MS = 400;
const MAX_PAUSE_MS = 900;
/** Time from the end of a pause to the next one, in ms. */
const MIN_PAUSE_INTERVAL_MS = 500;
const MAX_PAUSE_INTERVAL_MS = 2_000;

/**
 * Erases disks one after the other, each `CATCH_UP_MS` after the box before has
 * started again, and checks that the group can bear each of them.
 */
export class DiskSeriesRunner {
  readonly #series: DiskSeries;
  readonly #cluster: simulatedClusters.SimulatedCluster;
  readonly #random: randomSources.RandomSource;
  /** Ids of the boxes, from the oldest disk to the newest. */
  #idsByAge: readonly string[];
  #leader: string | undefined;
  #safetyFault: string | undefined;
  #events: readonly string[] = [];
  #isDone = false;

  constructor(
    series: DiskSeries,
    cluster: simulatedClusters.SimulatedCluster,
  ) {
    this.#series = series;
    this.#cluster = cluster;
    this.#idsByAge = cluster.listIds();
    this.#random = new randomSources.RandomSource(series.pauses?.seed ?? 0);
  }

  /** Runs to the end or to the first violation. */
  async run(): Promise<SeriesOutcome> {
    this.#schedulePauses();
    const { losses } = this.#series;
    for (let loss = 1; loss < losses; loss += 1) {
      await this.#wipeDisk(loss);
      const violation = this.#findViolation();
      if (violation !== undefined) return this.#end(violation);
    }
    await this.#wipeDiskAndCutPower(losses);
    if (this.#cluster.findLeader() === undefined) {
      return this.#end(
        `no leader ${ELECTION_TIMEOUT_MS} ms after the last loss`,
      );
    }
    return this.#end(simulatedCases.findSafetyFault(this.#cluster));
  }

  #end(violation: string | undefined): SeriesOutcome {
    this.#isDone = true;
    if (violation === undefined) return { violation, events: this.#events };
    const disks = electionChecks.describeDisks(this.#cluster.getDisks());
    return { violation: `${violation}: ${disks}`, events: this.#events };
  }

  /** Erases a disk and waits until the next one may be lost. */
  async #wipeDisk(loss: number): Promise<void> {
    const { startDelayMs } = this.#series;
    const victim = this.#chooseVictim(loss);
    this.#recordEvent(`loss ${loss}: disk of ${victim}`);
    this.#cluster.cutPowerAndWipe(victim);
    this.#markEmptied(victim);
    this.#cluster.start([victim], startDelayMs);
    await this.#cluster.run(startDelayMs + simulatedCases.CATCH_UP_MS, () => {
      this.#observeLeader();
      return this.#safetyFault !== undefined;
    });
  }

  /** Erases a disk while all boxes lose power, and waits for a leader. */
  async #wipeDiskAndCutPower(loss: number): Promise<void> {
    const { startDelayMs } = this.#series;
    const cluster = this.#cluster;
    const victim = this.#chooseVictim(loss);
    this.#recordEvent(`loss ${loss}: disk of ${victim}, power of all`);
    cluster.cutPower(cluster.listIds());
    cluster.get(victim).disk.wipe();
    cluster.start(cluster.listIds(), startDelayMs);
    await cluster.run(
      startDelayMs + ELECTION_TIMEOUT_MS,
      () => cluster.findLeader() !== undefined,
    );
  }

  #findViolation(): string | undefined {
    const cluster = this.#cluster;
    if (this.#safetyFault !== undefined) return this.#safetyFault;
    const fatalLoss = electionChecks.findFatalLoss(cluster.getDisks());
    if (fatalLoss === undefined) return undefined;
    return `${cluster.getNowMs()} ms: no leader without ${fatalLoss}`;
  }

  #chooseVictim(loss: number): string {
    const ids = this.#cluster.listIds();
    const [oldest = ""] = this.#idsByAge;
    switch (this.#series.choice) {
      case "voter":
        return this.#findVoter() ?? oldest;
      case "leader":
        return this.#cluster.findLeader() ?? this.#findVoter() ?? oldest;
      case "oldest":
        return oldest;
      case "turn":
        return ids.at(-1 - (loss - 1) % ids.length) ?? oldest;
    }
  }

  /** Finds an admitted voter of the newest set that does not lead. */
  #findVoter(): string | undefined {
    const leader = this.#cluster.findLeader();
    const disks = [...this.#cluster.getDisks()];
    const [newest] = disks.toSorted(([, a], [, b]) =>
      b.lastTerm - a.lastTerm || b.lastIndex - a.lastIndex
    );
    const voters = newest?.[1].voters ?? [];
    return this.#idsByAge.find((id) =>
      id !== leader && voters.includes(id) &&
      disks.some(([other, disk]) => other === id && disk.isAdmitted)
    );
  }

  #markEmptied(victim: string): void {
    const others = this.#idsByAge.filter((id) => id !== victim);
    this.#idsByAge = [...others, victim];
  }

  #observeLeader(): void {
    if (this.#cluster.getNowMs() % OBSERVE_INTERVAL_MS !== 0) return;
    this.#safetyFault = simulatedCases.findSafetyFault(this.#cluster);
    const leader = this.#cluster.findLeader();
    if (leader === this.#leader) return;
    this.#leader = leader;
    this.#recordEvent(leader === undefined ? "no leader" : `${leader} leads`);
  }

  #recordEvent(text: string): void {
    this.#events = [...this.#events, `${this.#cluster.getNowMs()}: ${text}`];
  }

  #schedulePauses(): void {
    const cluster = this.#cluster;
    const { pauses } = this.#series;
    if (pauses === undefined) return;
    if (pauses.target === "leader") {
      return this.#schedulePause(() => cluster.findLeader());
    }
    for (const id of cluster.listIds()) this.#schedulePause(() => id);
  }

  /** Schedules the next pause of a process and those that follow it. */
  #schedulePause(findTarget: () => string | undefined): void {
    const pauseMs = this.#random.drawInteger(MIN_PAUSE_MS, MAX_PAUSE_MS);
    const waitMs = this.#random.drawInteger(
      MIN_PAUSE_INTERVAL_MS,
      MAX_PAUSE_INTERVAL_MS,
    );
    const { clock } = this.#cluster;
    clock.startTimer(waitMs, () => {
      if (this.#isDone) return;
      this.#pauseProcess(findTarget(), pauseMs);
      clock.startTimer(pauseMs, () => this.#schedulePause(findTarget));
    });
  }

  #pauseProcess(id: string | undefined, pauseMs: number): void {
    if (id === undefined) return;
    const process = this.#cluster.get(id).getProcess();
    if (process === undefined) return;
    process.pause();
    this.#recordEvent(`${id} paused for ${pauseMs} ms`);
    this.#cluster.clock.startTimer(pauseMs, () => process.resume());
  }
}

/** Runs a series of losses on a new cluster. */
export async function runSeries(series: DiskSeries): Promise<SeriesOutcome> {
  const cluster = await simulatedCases.createCluster(series);
  try {
    return await new DiskSeriesRunner(series, cluster).run();
  } finally {
    cluster.close();
  }
}
