import type * as backendServers from "../backend_server/mod.ts";
import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as boxTables from "./box_table.ts";
import type * as protocols from "./protocol.ts";

/** Options of a leader session. */
export interface LeaderSessionOptions {
  readonly clock: clocks.Clock;
  readonly term: number;
  readonly leaseMs: number;
}

/** State of a leader during one term: boxes, their leases and the membership. */
export class LeaderSession {
  readonly term: number;
  readonly #clock: clocks.Clock;
  readonly #syncRecorded = new csp.Signal();
  readonly #onMembershipChange: () => void;
  #table: boxTables.BoxTable;
  #servers: readonly backendServers.BackendServer[] | undefined;
  #membership: protocols.Membership | undefined;
  #membershipChanges = 0;

  /** @param onMembershipChange Called when boxes or backend servers changed. */
  constructor(options: LeaderSessionOptions, onMembershipChange: () => void) {
    this.term = options.term;
    this.#clock = options.clock;
    this.#onMembershipChange = onMembershipChange;
    const leadSinceMs = options.clock.getMonotonicMs();
    this.#table = {
      records: new Map(),
      leaderSinceMs: leadSinceMs,
      leaseMs: options.leaseMs,
    };
  }

  /** Gets the membership; undefined until all live boxes had time to sync. */
  getMembership(): protocols.Membership | undefined {
    return this.#membership;
  }

  /** Gets the backend servers from the last read of the box list. */
  getServers(): readonly backendServers.BackendServer[] {
    return this.#servers ?? [];
  }

  /** Records a sync request and the revision that the box confirmed. */
  recordSync(view: protocols.BoxView, revision: number): void {
    this.#table = boxTables.recordSync(this.#table, view, revision);
    this.#syncRecorded.notify();
  }

  /** Records that a lease is granted to a box now. */
  grantLease(id: string): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#table = boxTables.grantLease(this.#table, id, nowMs);
  }

  /** Sets the backend servers read from the box list. */
  setServers(servers: readonly backendServers.BackendServer[]): void {
    this.#servers = servers;
    this.refresh();
  }

  /** Recomputes the membership from the leases and the box list. */
  refresh(): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#table = boxTables.removeExpiredBoxes(this.#table, nowMs);
    const hasFullTable =
      nowMs >= this.#table.leaderSinceMs + this.#table.leaseMs;
    if (!hasFullTable || this.#servers === undefined) return;
    const boxes = boxTables.listLeasedBoxes(this.#table, nowMs);
    const servers = this.#servers;
    const previous = this.#membership;
    if (
      previous !== undefined && isSameMembership(previous, { boxes, servers })
    ) return;
    this.#membershipChanges += 1;
    const version = `${this.term}.${this.#membershipChanges}`;
    this.#membership = { version, boxes, servers };
    this.#onMembershipChange();
  }

  /** Waits until a revision is in force on all boxes; false after the timeout. */
  async awaitInForce(revision: number, timeoutMs: number): Promise<boolean> {
    const endMs = this.#clock.getMonotonicMs() + timeoutMs;
    for (;;) {
      const nowMs = this.#clock.getMonotonicMs();
      if (boxTables.isInForce(this.#table, revision, nowMs)) return true;
      if (nowMs >= endMs) return false;
      await this.#syncRecorded.wait(
        this.#clock,
        Math.min(IN_FORCE_CHECK_INTERVAL_MS, endMs - nowMs),
      );
    }
  }

  /** Describes all known boxes for operators. */
  describeBoxes(): readonly protocols.BoxStatus[] {
    const nowMs = this.#clock.getMonotonicMs();
    return [...this.#table.records.values()].map((record) => ({
      ...record.view,
      revision: record.revision,
      leaseLeftMs: Math.round(record.leaseUntilMs - nowMs),
    }));
  }
}

/** Interval at which a wait checks for expired leases, in ms. */
const IN_FORCE_CHECK_INTERVAL_MS = 50;

function isSameMembership(
  a: Pick<protocols.Membership, "boxes" | "servers">,
  b: Pick<protocols.Membership, "boxes" | "servers">,
): boolean {
  return JSON.stringify([a.boxes, a.servers]) ===
    JSON.stringify([b.boxes, b.servers]);
}
