import * as electionChecks from "./election_check_test.ts";
import type * as faultSchedules from "./fault_schedule_test.ts";
import * as lossTrackers from "./loss_tracker_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedClusters from "./simulated_cluster_test.ts";

/** The result of running a schedule. */
export interface ScheduleOutcome {
  /** The violated invariant; undefined if all held. */
  readonly violation: string | undefined;
  /** Faults that were applied, with their times in ms. */
  readonly events: readonly string[];
}

/** Interval between checks of the disks, in ms. */
const CHECK_INTERVAL_MS = 5;
/** Longest time from a restart of all boxes to a leader, in ms. */
const ELECTION_TIMEOUT_MS = 12_000;
/** Longest time for the retirement of a box, in ms. */
const RETIRE_TIMEOUT_MS = 60_000;
/** Time from the announcement of a planned stop to the stop, in ms. */
const RESIGN_MS = 400;
const DEFAULT_START_DELAY_MS = 300;

/** Applies a schedule, skipping faults that would lose a second box. */
export class ScheduleRunner {
  readonly #schedule: faultSchedules.Schedule;
  readonly #cluster: simulatedClusters.SimulatedCluster;
  readonly #losses = new lossTrackers.LossTracker(simulatedCases.CATCH_UP_MS);
  #replacementCount = 0;
  #events: readonly string[] = [];
  #violation: string | undefined;
  #lastCheckMs = 0;

  constructor(
    schedule: faultSchedules.Schedule,
    cluster: simulatedClusters.SimulatedCluster,
  ) {
    this.#schedule = schedule;
    this.#cluster = cluster;
  }

  /** Runs to the end or to the first violation. */
  async run(): Promise<ScheduleOutcome> {
    for (const { afterMs, fault } of this.#schedule.faults) {
      await this.#advanceTime(afterMs);
      if (this.#violation !== undefined) break;
      await this.#applyFault(fault);
    }
    await this.#advanceTime(2 * simulatedCases.CATCH_UP_MS);
    if (this.#violation === undefined) await this.#checkLeader();
    return { violation: this.#violation, events: this.#events };
  }

  /** Advances the time while checking the disks. */
  async #advanceTime(ms: number): Promise<void> {
    await this.#cluster.run(ms, () => {
      this.#checkDisks();
      return this.#violation !== undefined;
    });
  }

  #checkDisks(): void {
    const nowMs = this.#cluster.getNowMs();
    if (nowMs - this.#lastCheckMs < CHECK_INTERVAL_MS) return;
    this.#lastCheckMs = nowMs;
    this.#violation ??= simulatedCases.findSafetyFault(this.#cluster);
    if (this.#losses.listLost(nowMs).length > 0) return;
    const disks = this.#cluster.getDisks();
    const fatalLoss = electionChecks.findFatalLoss(disks);
    if (fatalLoss === undefined || this.#violation !== undefined) return;
    const summary = electionChecks.describeDisks(disks);
    this.#violation = `${nowMs} ms: no leader without ${fatalLoss}: ${summary}`;
  }

  /** Checks that a leader is elected after the last fault. */
  async #checkLeader(): Promise<void> {
    const cluster = this.#cluster;
    const { last } = this.#schedule;
    await this.#applyFault(last);
    const hasLeader = await cluster.run(
      Math.max(...last.startMs) + ELECTION_TIMEOUT_MS,
      () => cluster.findLeader() !== undefined,
    );
    if (hasLeader) {
      this.#violation = simulatedCases.findSafetyFault(cluster);
      return;
    }
    const summary = electionChecks.describeDisks(cluster.getDisks());
    this.#violation =
      `no leader ${ELECTION_TIMEOUT_MS} ms after a restart: ${summary}`;
  }

  async #applyFault(fault: faultSchedules.Fault): Promise<void> {
    switch (fault.kind) {
      case "powerOfAll":
        return this.#cutPowerOfAll(fault.startMs, fault.keptWrites);
      default: {
        const id = this.#findTarget(fault.target);
        if (id !== undefined) await this.#applyToBox(id, fault);
      }
    }
  }

  async #applyToBox(
    id: string,
    fault: Exclude<faultSchedules.Fault, { kind: "powerOfAll" }>,
  ): Promise<void> {
    const nowMs = this.#cluster.getNowMs();
    if (fault.kind === "clock") {
      this.#recordEvent(`clock of ${id} moved by ${fault.byMs} ms`);
      this.#cluster.get(id).wallOffsetMs += fault.byMs;
      return;
    }
    if (fault.kind === "slowDisk") return this.#throttleDisk(id, fault);
    if (!this.#losses.canLose(id, nowMs)) return;
    switch (fault.kind) {
      case "powerOfOne":
        this.#recordEvent(`${id} loses power for ${fault.startMs} ms`);
        this.#cluster.cutPower([id], fault.keptWrites);
        return this.#startLater(id, fault.startMs);
      case "disk":
        this.#recordEvent(
          `${id} loses its disk, starts after ${fault.startMs} ms`,
        );
        this.#cluster.cutPowerAndWipe(id);
        return this.#startLater(id, fault.startMs);
      case "diskAndPowerOfAll":
        this.#recordEvent(`${id} loses its disk`);
        this.#cluster.cutPowerAndWipe(id);
        this.#losses.add(id, nowMs);
        return this.#cutPowerOfAll(fault.startMs, 0);
      case "gone":
        return this.#swapBox(id, fault.startMs);
      case "freeze":
        return this.#pauseProcess(id, fault.ms);
      case "cut":
        return this.#cutLinks(id, fault);
      case "restart":
        return await this.#restartBox(id, fault.startMs);
      case "retire":
        return await this.#retireBox(id, fault);
    }
  }

  #recordEvent(text: string): void {
    this.#events = [...this.#events, `${this.#cluster.getNowMs()}: ${text}`];
  }

  #findTarget(target: faultSchedules.Target): string | undefined {
    const cluster = this.#cluster;
    const ids = cluster.listIds();
    const leader = cluster.findLeader();
    const voters = leader === undefined
      ? ids
      : cluster.get(leader).getGroup()?.listVoters() ?? [];
    const followers = ids.filter((id) => id !== leader && voters.includes(id));
    const [lost] = this.#losses.listLost(cluster.getNowMs());
    switch (target) {
      case "leader":
        return leader;
      case "follower":
        return followers[0];
      case "otherFollower":
        return followers.at(-1);
      case "spare":
        return ids.find((id) => !voters.includes(id));
      case "lost":
        return lost !== undefined && ids.includes(lost) ? lost : undefined;
    }
  }

  #cutPowerOfAll(startMs: readonly number[], keptWrites: number): void {
    const cluster = this.#cluster;
    this.#recordEvent(`all lose power, start after ${startMs.join(", ")} ms`);
    cluster.cutPower(cluster.listIds(), keptWrites);
    cluster.listIds().forEach((id, index) => {
      const delayMs = startMs[index % startMs.length] ?? DEFAULT_START_DELAY_MS;
      if (this.#schedule.isStrict === true) cluster.start([id], delayMs);
      else this.#startLater(id, delayMs);
    });
  }

  /** Starts a box after a delay; it counts as lost until it has caught up. */
  #startLater(id: string, startMs: number): void {
    const downMs = this.#schedule.isStrict === true ? 0 : startMs;
    this.#losses.add(id, this.#cluster.getNowMs() + downMs);
    this.#cluster.start([id], startMs);
  }

  #swapBox(id: string, startMs: number): void {
    this.#recordEvent(
      `${id} removed, replacement starts after ${startMs} ms more`,
    );
    this.#cluster.removeBox(id);
    this.#losses.remove(id);
    this.#addReplacement(startMs);
  }

  #addReplacement(startMs: number): void {
    this.#replacementCount += 1;
    const id = `n${this.#replacementCount}`;
    this.#cluster.addBox(id);
    this.#losses.add(
      id,
      this.#cluster.getNowMs() + simulatedCases.REPLACEMENT_DELAY_MS,
    );
    this.#startLater(id, simulatedCases.REPLACEMENT_DELAY_MS + startMs);
  }

  #pauseProcess(id: string, ms: number): void {
    const process = this.#cluster.get(id).getProcess();
    if (process === undefined || process.isPaused()) return;
    this.#recordEvent(`${id} paused for ${ms} ms`);
    this.#losses.add(id, this.#cluster.getNowMs() + ms);
    process.pause();
    this.#cluster.clock.startTimer(ms, () => process.resume());
  }

  #cutLinks(
    id: string,
    fault: Extract<faultSchedules.Fault, { kind: "cut" }>,
  ): void {
    if (this.#cluster.get(id).getProcess() === undefined) return;
    this.#recordEvent(
      `links of ${id} cut (${fault.direction}) for ${fault.ms} ms`,
    );
    this.#losses.add(id, this.#cluster.getNowMs() + fault.ms);
    for (const other of this.#cluster.listIds()) {
      if (fault.direction !== "in") this.#cluster.cutLink(id, other);
      if (fault.direction !== "out") this.#cluster.cutLink(other, id);
    }
    this.#cluster.clock.startTimer(
      fault.ms,
      () => this.#cluster.restoreLinks(),
    );
  }

  async #restartBox(id: string, startMs: number): Promise<void> {
    const store = this.#cluster.get(id);
    const process = store.getProcess();
    if (process === undefined || process.isPaused()) return;
    this.#recordEvent(`planned restart of ${id}, starts after ${startMs} ms`);
    this.#losses.add(id, this.#cluster.getNowMs() + RESIGN_MS + startMs);
    store.resign();
    await this.#advanceTime(RESIGN_MS);
    store.end();
    this.#startLater(id, startMs);
  }

  /** Retires a box and removes it once its retirement is completed. */
  async #retireBox(
    id: string,
    fault: Extract<faultSchedules.Fault, { kind: "retire" }>,
  ): Promise<void> {
    const cluster = this.#cluster;
    const leader = cluster.findLeader();
    const isHealthy = this.#losses.listLost(cluster.getNowMs()).length === 0;
    const hasNonVoter = cluster.listIds().length > simulatedCases.MAX_VOTERS;
    if (!isHealthy || !hasNonVoter || leader === undefined) return;
    this.#recordEvent(`${id} is to be retired`);
    void cluster.get(leader).getGroup()?.propose(
      { kind: "retireBox", box: id },
      RETIRE_TIMEOUT_MS,
    );
    let isRetired = false;
    await cluster.run(RETIRE_TIMEOUT_MS, () => {
      this.#checkDisks();
      isRetired = simulatedCases.isRetired(cluster, id);
      return isRetired || this.#violation !== undefined;
    });
    if (this.#violation !== undefined) return;
    if (!isRetired) {
      this.#violation = `${id} is not retired after ${RETIRE_TIMEOUT_MS} ms`;
      return;
    }
    this.#recordEvent(`${id} is retired, removed after ${fault.takenMs} ms`);
    await this.#advanceTime(fault.takenMs);
    if (this.#violation !== undefined) return;
    cluster.removeBox(id);
    this.#lastCheckMs = 0;
    this.#checkDisks();
    this.#addReplacement(fault.startMs);
  }

  #throttleDisk(
    id: string,
    fault: Extract<faultSchedules.Fault, { kind: "slowDisk" }>,
  ): void {
    const { disk } = this.#cluster.get(id);
    this.#recordEvent(
      `disk of ${id} is ${fault.factor} times slower for ${fault.ms} ms`,
    );
    disk.syncMs = this.#schedule.syncMs * fault.factor;
    this.#cluster.clock.startTimer(fault.ms, () => {
      disk.syncMs = this.#schedule.syncMs;
    });
  }
}

/** Runs a schedule on a new cluster. */
export async function runSchedule(
  schedule: faultSchedules.Schedule,
): Promise<ScheduleOutcome> {
  const cluster = await simulatedCases.createCluster(schedule);
  try {
    return await new ScheduleRunner(schedule, cluster).run();
  } finally {
    cluster.close();
  }
}

/**
 * Removes faults from a schedule, one at a time, while a violation remains.
 *
 * @returns The shortest schedule found that still violates an invariant.
 */
export async function trimSchedule(
  schedule: faultSchedules.Schedule,
): Promise<faultSchedules.Schedule> {
  for (let index = 0; index < schedule.faults.length; index += 1) {
    const shorter = {
      ...schedule,
      faults: schedule.faults.toSpliced(index, 1),
    };
    const { violation } = await runSchedule(shorter);
    if (violation !== undefined) return await trimSchedule(shorter);
  }
  return schedule;
}
