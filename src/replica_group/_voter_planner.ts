import type * as consensus from "../consensus/mod.ts";
import * as shortfallMonitors from "./_shortfall_monitor.ts";
import * as planVoters from "./plan_voters.ts";
import type * as replicaGroups from "./replica_group.ts";

/**
 * Silence after which a voter is replaced, in ms: short enough to replace a lost
 * voter before the next loss, some 5 s later, even after a restart of all boxes.
 */
const VOTER_FAILURE_TIMEOUT_MS = 2_000;

type PlannerOptions = Pick<
  replicaGroups.ReplicaGroupOptions,
  | "name"
  | "id"
  | "maxVoters"
  | "minVoters"
  | "clock"
  | "log"
  | "metrics"
  | "directory"
  | "canVote"
  | "listRetiring"
>;

/**
 * Chooses the voters and learners of a group while this replica leads it, and
 * measures for how long the group can't bear the next lost disks.
 */
export class VoterPlanner {
  readonly #options: PlannerOptions;
  readonly #shortfalls: shortfallMonitors.ShortfallMonitor;

  constructor(options: PlannerOptions) {
    this.#options = options;
    this.#shortfalls = new shortfallMonitors.ShortfallMonitor(options);
  }

  /**
   * Makes the next change that is due; must be called at short intervals.
   *
   * @param driver The replica.
   * @param getLeadershipMs Returns how long it has led, in ms.
   */
  update(
    driver: consensus.ReplicaDriver,
    getLeadershipMs: () => number,
  ): void {
    const status = driver.getStatus();
    const input = status.role === "leader"
      ? this.#createInput(status, getLeadershipMs())
      : undefined;
    if (input !== undefined) this.#applyPlan(driver, status, input);
    this.#updateMetrics(driver, input);
  }

  #applyPlan(
    driver: consensus.ReplicaDriver,
    status: consensus.ReplicaStatus,
    input: planVoters.VoterPlanInput,
  ): void {
    driver.setLearners(planVoters.chooseLearners(input));
    if (!status.isEstablished) return;
    const planned = planVoters.planVoters(input);
    if (planned !== undefined) return this.#changeVoters(driver, planned);
    const { retiring, self, voters } = input;
    if (retiring.includes(self) && voters.length > 1) {
      driver.transferLeadership();
    }
  }

  #changeVoters(
    driver: consensus.ReplicaDriver,
    planned: readonly string[],
  ): void {
    const { log, name } = this.#options;
    log.write("info", "group.changing", {
      group: name,
      voters: driver.listVoters().join(","),
      planned: planned.join(","),
    });
    driver.changeVoters(planned);
  }

  #updateMetrics(
    driver: consensus.ReplicaDriver,
    input: planVoters.VoterPlanInput | undefined,
  ): void {
    const { metrics, name } = this.#options;
    const health = driver.getHealth();
    const shortMs = this.#shortfalls.observe(
      health,
      health.hasAuthority ? input : undefined,
    );
    metrics.replicas.setStatistics(name, { ...health, shortMs });
  }

  #createInput(
    { followers, commitIndex, voterSet }: consensus.ReplicaStatus,
    leadershipMs: number,
  ): planVoters.VoterPlanInput {
    const { id, maxVoters, minVoters, directory, canVote, listRetiring } =
      this.#options;
    const retiring = listRetiring();
    const candidates = directory.listAlive()
      .filter((box) =>
        canVote(box) && !box.isLeaving && !retiring.includes(box.id)
      )
      .map((box) => box.id);
    return {
      self: id,
      voters: voterSet.voters,
      wanted: planVoters.countTargetVoters(
        minVoters,
        maxVoters,
        candidates.length,
      ),
      commitIndex,
      leadershipMs,
      followers,
      candidates,
      failureDomains: new Map(
        directory.listAll().map((box) => [box.id, box.failureDomain]),
      ),
      retiring,
      failureTimeoutMs: VOTER_FAILURE_TIMEOUT_MS,
      minVoters,
      standbys: Math.floor(minVoters / 2),
    };
  }
}
