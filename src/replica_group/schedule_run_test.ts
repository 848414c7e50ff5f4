import * as electionChecks from "./election_check_test.ts";
import type * as faultSchedules from "./fault_schedule_test.ts";
import * as lossTerms from "./loss_term_test.ts";
import * as simulatedCases from "./simulated_cases_test.ts";
import type * as simulatedStores from "./simulated_stores_test.ts";

/** What a schedule brought about. */
export interface ScheduleOutcome {
  /** What did not hold; undefined where all did. */
  readonly violation: string | undefined;
  /** Faults that the term let through, with their times. */
  readonly story: readonly string[];
}

/** Between two looks at what the disks hold, in ms. */
const CHECK_MS = 5;
/** Longest time from a restart of all boxes to a leader, in ms. */
const LEADER_MS = 12_000;
/** Longest time in which a box is emptied, in ms. */
const RETIRE_MS = 60_000;
/** Time from the announcement of a planned stop to the stop, in ms. */
const LEAVE_MS = 400;
const LAST_START_MS = 300;

/** Carries out the faults of a schedule that the term of losses lets through. */
export class ScheduleRun {
  readonly #schedule: faultSchedules.Schedule;
  readonly #stores: simulatedStores.SimulatedStores;
  readonly #term = new lossTerms.LossTerm(simulatedCases.CATCH_UP_MS);
  /** Disks of the boxes that are gone are no more; successors are numbered. */
  #successors = 0;
  #story: readonly string[] = [];
  #violation: string | undefined;
  #checkedAtMs = 0;

  constructor(
    schedule: faultSchedules.Schedule,
    stores: simulatedStores.SimulatedStores,
  ) {
    this.#schedule = schedule;
    this.#stores = stores;
  }

  /** Runs to the end, or to the first violation. */
  async run(): Promise<ScheduleOutcome> {
    for (const { afterMs, fault } of this.#schedule.faults) {
      await this.#wait(afterMs);
      if (this.#violation !== undefined) break;
      await this.#apply(fault);
    }
    await this.#wait(2 * simulatedCases.CATCH_UP_MS);
    if (this.#violation === undefined) await this.#checkLeader();
    return { violation: this.#violation, story: this.#story };
  }

  /** Lets time pass, and looks at what the disks hold. */
  async #wait(ms: number): Promise<void> {
    await this.#stores.run(ms, () => {
      this.#checkDisks();
      return this.#violation !== undefined;
    });
  }

  #checkDisks(): void {
    const nowMs = this.#stores.getNowMs();
    if (nowMs - this.#checkedAtMs < CHECK_MS) return;
    this.#checkedAtMs = nowMs;
    if (this.#term.list(nowMs).length > 0) return;
    const disks = this.#stores.getDisks();
    const fatal = electionChecks.findFatalLoss(disks);
    if (fatal === undefined) return;
    const held = electionChecks.describeDisks(disks);
    this.#violation = `${nowMs} ms: no leader without ${fatal}: ${held}`;
  }

  /** A leader comes though all lose power, and one its disk. */
  async #checkLeader(): Promise<void> {
    const stores = this.#stores;
    const { last } = this.#schedule;
    await this.#apply(last);
    const hasLeader = await stores.run(
      Math.max(...last.startMs) + LEADER_MS,
      () => stores.findLeader() !== undefined,
    );
    if (hasLeader) return;
    const held = electionChecks.describeDisks(stores.getDisks());
    this.#violation = `no leader ${LEADER_MS} ms after a restart: ${held}`;
  }

  async #apply(fault: faultSchedules.Fault): Promise<void> {
    switch (fault.kind) {
      case "powerOfAll":
        return this.#cutPowerOfAll(fault.startMs, fault.keptWrites);
      default: {
        const id = this.#findTarget(fault.target);
        if (id !== undefined) await this.#applyTo(id, fault);
      }
    }
  }

  async #applyTo(
    id: string,
    fault: Exclude<faultSchedules.Fault, { kind: "powerOfAll" }>,
  ): Promise<void> {
    const nowMs = this.#stores.getNowMs();
    if (fault.kind === "clock") {
      this.#tell(`clock of ${id} by ${fault.byMs} ms`);
      this.#stores.get(id).wallOffsetMs += fault.byMs;
      return;
    }
    if (fault.kind === "slowDisk") return this.#extendSyncs(id, fault);
    if (!this.#term.canLose(id, nowMs)) return;
    switch (fault.kind) {
      case "powerOfOne":
        this.#tell(`power of ${id} for ${fault.startMs} ms`);
        this.#stores.cutPower([id], fault.keptWrites);
        return this.#startLater(id, fault.startMs);
      case "disk":
        this.#tell(`disk of ${id}, back after ${fault.startMs} ms`);
        this.#stores.wipeDisk(id);
        return this.#startLater(id, fault.startMs);
      case "diskAndPowerOfAll":
        this.#tell(`disk of ${id}`);
        this.#stores.wipeDisk(id);
        this.#term.add(id, nowMs);
        return this.#cutPowerOfAll(fault.startMs, 0);
      case "gone":
        return this.#swap(id, fault.startMs);
      case "freeze":
        return this.#stop(id, fault.ms);
      case "cut":
        return this.#cut(id, fault);
      case "restart":
        return await this.#restart(id, fault.startMs);
      case "retire":
        return await this.#retire(id, fault);
    }
  }

  #tell(text: string): void {
    this.#story = [...this.#story, `${this.#stores.getNowMs()}: ${text}`];
  }

  #findTarget(target: faultSchedules.Target): string | undefined {
    const stores = this.#stores;
    const ids = stores.listIds();
    const leader = stores.findLeader();
    const voters = leader === undefined
      ? ids
      : stores.get(leader).getGroup()?.listVoters() ?? [];
    const followers = ids.filter((id) => id !== leader && voters.includes(id));
    const [lost] = this.#term.list(stores.getNowMs());
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
    const stores = this.#stores;
    this.#tell(`power of all, back after ${startMs.join(", ")} ms`);
    stores.cutPower(stores.listIds(), keptWrites);
    stores.listIds().forEach((id, index) => {
      const delayMs = startMs[index % startMs.length] ?? LAST_START_MS;
      if (this.#schedule.isStrict === true) stores.start([id], delayMs);
      else this.#startLater(id, delayMs);
    });
  }

  /** Starts a box that is down; it counts as lost until it has caught up. */
  #startLater(id: string, startMs: number): void {
    const countedMs = this.#schedule.isStrict === true ? 0 : startMs;
    this.#term.add(id, this.#stores.getNowMs() + countedMs);
    this.#stores.start([id], startMs);
  }

  #swap(id: string, startMs: number): void {
    this.#tell(`${id} gone for good, successor after ${startMs} ms more`);
    this.#stores.removeBox(id);
    this.#term.remove(id);
    this.#addSuccessor(startMs);
  }

  #addSuccessor(startMs: number): void {
    this.#successors += 1;
    const id = `n${this.#successors}`;
    this.#stores.addBox(id);
    this.#term.add(
      id,
      this.#stores.getNowMs() + simulatedCases.SUCCESSOR_MS,
    );
    this.#startLater(id, simulatedCases.SUCCESSOR_MS + startMs);
  }

  #stop(id: string, ms: number): void {
    const process = this.#stores.get(id).getProcess();
    if (process === undefined || process.isStopped()) return;
    this.#tell(`${id} stands still for ${ms} ms`);
    this.#term.add(id, this.#stores.getNowMs() + ms);
    process.stop();
    this.#stores.clock.startTimer(ms, () => process.resume());
  }

  #cut(
    id: string,
    fault: Extract<faultSchedules.Fault, { kind: "cut" }>,
  ): void {
    if (this.#stores.get(id).getProcess() === undefined) return;
    this.#tell(`${id} cut (${fault.direction}) for ${fault.ms} ms`);
    this.#term.add(id, this.#stores.getNowMs() + fault.ms);
    for (const other of this.#stores.listIds()) {
      if (fault.direction !== "in") this.#stores.cut(id, other);
      if (fault.direction !== "out") this.#stores.cut(other, id);
    }
    this.#stores.clock.startTimer(
      fault.ms,
      () => this.#stores.restoreLinks(),
    );
  }

  async #restart(id: string, startMs: number): Promise<void> {
    const store = this.#stores.get(id);
    const process = store.getProcess();
    if (process === undefined || process.isStopped()) return;
    this.#tell(`planned restart of ${id}, back after ${startMs} ms`);
    this.#term.add(id, this.#stores.getNowMs() + LEAVE_MS + startMs);
    store.resign();
    await this.#wait(LEAVE_MS);
    store.end();
    this.#startLater(id, startMs);
  }

  /** Empties a box, which is taken away after the first answer that it may be. */
  async #retire(
    id: string,
    fault: Extract<faultSchedules.Fault, { kind: "retire" }>,
  ): Promise<void> {
    const stores = this.#stores;
    const leader = stores.findLeader();
    const isFree = this.#term.list(stores.getNowMs()).length === 0;
    const isMany = stores.listIds().length > simulatedCases.WANTED;
    if (!isFree || !isMany || leader === undefined) return;
    this.#tell(`${id} is to be emptied`);
    void stores.get(leader).getGroup()?.propose(
      { kind: "retireBox", box: id },
      RETIRE_MS,
    );
    let isTold = false;
    await stores.run(RETIRE_MS, () => {
      this.#checkDisks();
      isTold = simulatedCases.isEmptied(stores, id);
      return isTold || this.#violation !== undefined;
    });
    if (this.#violation !== undefined) return;
    if (!isTold) {
      this.#violation = `${id} is not emptied after ${RETIRE_MS} ms`;
      return;
    }
    this.#tell(`${id} is told as emptied, taken in ${fault.takenMs} ms`);
    await this.#wait(fault.takenMs);
    if (this.#violation !== undefined) return;
    stores.removeBox(id);
    this.#checkedAtMs = 0;
    this.#checkDisks();
    this.#addSuccessor(fault.startMs);
  }

  #extendSyncs(
    id: string,
    fault: Extract<faultSchedules.Fault, { kind: "slowDisk" }>,
  ): void {
    const { disk } = this.#stores.get(id);
    this.#tell(
      `disk of ${id} is ${fault.factor} times slower for ${fault.ms} ms`,
    );
    disk.syncMs = this.#schedule.syncMs * fault.factor;
    this.#stores.clock.startTimer(fault.ms, () => {
      disk.syncMs = this.#schedule.syncMs;
    });
  }
}

/** Runs a schedule from its beginning. */
export async function runSchedule(
  schedule: faultSchedules.Schedule,
): Promise<ScheduleOutcome> {
  const stores = await simulatedCases.createStores(schedule);
  try {
    return await new ScheduleRun(schedule, stores).run();
  } finally {
    stores.close();
  }
}

/**
 * Leaves out faults, one at a time, for as long as something does not hold.
 *
 * @returns The shortest schedule that was found, and what it brought about.
 */
export async function cutSchedule(
  schedule: faultSchedules.Schedule,
): Promise<faultSchedules.Schedule> {
  for (let at = 0; at < schedule.faults.length; at += 1) {
    const shorter = { ...schedule, faults: schedule.faults.toSpliced(at, 1) };
    const { violation } = await runSchedule(shorter);
    if (violation !== undefined) return await cutSchedule(shorter);
  }
  return schedule;
}
