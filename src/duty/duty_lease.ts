import type * as clocks from "../clock/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metricTypes from "../metrics/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as planHandover from "./plan_handover.ts";

/** Interval between checks for the holder, in ms. */
const CHECK_INTERVAL_MS = 40;
/**
 * Time added to the lease for calls of the previous holder in flight, in ms.
 */
const LEASE_MARGIN_MS = 250;
/** Timeout of a claim's commit to the replicated log, in ms. */
const CLAIM_TIMEOUT_MS = 1_000;
/**
 * Minimum time between handovers to the previous holder, in ms. A box that
 * loses leadership again sooner is too slow to lead.
 */
const HANDOVER_INTERVAL_MS = 10_000;

/** Command that makes a box the holder of the duties. */
export interface NoteHolder {
  readonly kind: "noteHolder";
  readonly box: string;
}

/** The holder as recorded in the replicated state. */
export interface HolderRecord {
  /**
   * Name of the box that claimed the duties last; undefined before any claim.
   */
  getHolder(): string | undefined;
  /** Ids of the boxes that are being drained. */
  listRetiring(): readonly string[];
}

/** Options of a duty lease. */
export interface DutyLeaseOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metricTypes.FleetMetrics;
  readonly group: replicaGroups.ReplicaGroup;
  readonly machine: HolderRecord;
  readonly directory: fleet.BoxDirectory;
  /** Name of this box. */
  readonly box: string;
  /** Id of this box. */
  readonly id: string;
  /** Minimum time between the calls of two successive holders, in ms. */
  readonly leaseMs: number;
}

/**
 * Lease on the duties towards servers and the infrastructure, which at most one
 * box holds at a time. The leader of a replica group claims it once the lease
 * of the previous holder must have expired. The group's term is the fencing
 * token.
 */
export class DutyLease {
  readonly #options: DutyLeaseOptions;
  #isStopped = false;
  #isClaiming = false;
  #lastHandover = { term: 0, atMs: Number.NEGATIVE_INFINITY };

  constructor(options: DutyLeaseOptions) {
    this.#options = options;
  }

  start(): void {
    if (this.#isStopped) return;
    if (!this.canAct()) void this.#claim();
    this.#options.clock.startTimer(CHECK_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Whether this box holds the lease now. Has to be checked immediately before
   * each call, since the lease may have expired while the process was paused.
   */
  canAct(): boolean {
    const { group, machine, box } = this.#options;
    return !this.#isStopped && group.hasAuthority() &&
      machine.getHolder() === box;
  }

  /** Fencing token, which increases with each change of the holder. */
  getFence(): number {
    return this.#options.group.getTerm();
  }

  /** Name under which this box acts. */
  getName(): string {
    return this.#options.box;
  }

  /** Time since this box became leader, in ms. */
  getReignMs(): number {
    return this.#options.group.getReignMs();
  }

  /**
   * Claims the lease once that of the previous holder must have expired; until
   * then offers leadership to the previous holder, which need not wait.
   */
  async #claim(): Promise<void> {
    const { group, leaseMs, box, log, machine, metrics } = this.#options;
    if (this.#isClaiming || !group.hasAuthority()) return;
    if (group.getReignMs() < leaseMs + LEASE_MARGIN_MS) {
      return this.#transferToPreviousHolder();
    }
    this.#isClaiming = true;
    const previousHolder = machine.getHolder();
    const command: NoteHolder = { kind: "noteHolder", box };
    const claimed = await group.propose(command, CLAIM_TIMEOUT_MS);
    this.#isClaiming = false;
    metrics.countDutyClaim(claimed.kind);
    log.write("info", "duties.claimed", {
      fence: group.getTerm(),
      former: previousHolder,
      outcome: claimed.kind,
    });
  }

  /** Transfers leadership to the previous holder if it is fit to lead. */
  #transferToPreviousHolder(): void {
    const { group, clock, log, id } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const term = group.getTerm();
    const isRepeated = this.#lastHandover.term === term;
    if (!isRepeated && nowMs - this.#lastHandover.atMs < HANDOVER_INTERVAL_MS) {
      return;
    }
    const successor = planHandover.planHandover({
      ...this.#describeHolder(),
      self: id,
    });
    if (successor === undefined) return;
    if (!isRepeated) {
      log.write("info", "leadership.transferred", { holder: successor, term });
      this.#lastHandover = { term, atMs: nowMs };
    }
    group.transferTo(successor);
  }

  #describeHolder(): Omit<planHandover.HandoverInput, "self"> {
    const { group, machine, directory, leaseMs } = this.#options;
    const holder = directory.findByName(machine.getHolder() ?? "");
    const isRetiring = holder !== undefined &&
      machine.listRetiring().includes(holder.id);
    return {
      holder: holder?.id,
      isHolderLeaving: holder?.isLeaving === true || isRetiring,
      leadershipMs: group.getReignMs(),
      claimDelayMs: leaseMs + LEASE_MARGIN_MS,
      voters: group.listVoters(),
      followers: group.getStatus()?.followers ?? [],
    };
  }
}
