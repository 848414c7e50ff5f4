import type * as clocks from "../clock/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metricTypes from "../metrics/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as planHandover from "./plan_handover.ts";

/** Between two looks at who holds the duties, in ms. */
const CHECK_INTERVAL_MS = 40;
/** Margin on the lease of the former holder, for its last calls' way, in ms. */
const LEASE_MARGIN_MS = 250;
/** Longest wait until the other replicas know the holder, in ms. */
const CLAIM_TIMEOUT_MS = 1_000;
/**
 * Time between two handovers to the former holder, in ms; one that lost its
 * leadership again so soon is slow and should not lead.
 */
const HANDOVER_INTERVAL_MS = 10_000;

/** Names the box that holds the duties from now on. */
export interface NoteHolder {
  readonly kind: "noteHolder";
  readonly box: string;
}

/** The agreed holder, as a replica's machine knows it. */
export interface HolderRecord {
  /** Name of the box that acted last, or may have. */
  getHolder(): string | undefined;
  /** Ids of boxes that are to be emptied. */
  listRetiring(): readonly string[];
}

/** What a duty holder needs. */
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
  /** Time between the calls of two holders, in ms. */
  readonly leaseMs: number;
}

/**
 * Makes one box at a time the holder of the duties towards servers and the
 * infrastructure: the leader of a replica group, once the last call of the
 * former holder lies a whole lease back. The term of the group is its fence.
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
   * Whether this box is the agreed holder now. To be asked right before each
   * call: a box that was paused has lost its authority by its own clock.
   */
  canAct(): boolean {
    const { group, machine, box } = this.#options;
    return !this.#isStopped && group.hasAuthority() &&
      machine.getHolder() === box;
  }

  /** Number that rises with each change of the holder. */
  getFence(): number {
    return this.#options.group.getTerm();
  }

  /** Name under which this box acts. */
  getName(): string {
    return this.#options.box;
  }

  /** How long this box has led, in ms. */
  getReignMs(): number {
    return this.#options.group.getReignMs();
  }

  /**
   * Becomes the holder once the former one's last call lies a whole lease
   * back; the box that was the holder before goes on at once.
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
    metrics.countClaim(claimed.kind);
    log.write("info", "duties.claimed", {
      fence: group.getTerm(),
      former: previousHolder,
      outcome: claimed.kind,
    });
  }

  /** Lets the former holder lead where it is sound; it need not wait. */
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
