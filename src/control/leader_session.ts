import type * as backends from "../backend_server/mod.ts";
import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import * as boxTables from "./box_table.ts";
import type * as protocols from "./protocol.ts";

/** What a session needs. */
export interface LeaderSessionOptions {
  readonly clock: clocks.Clock;
  readonly term: number;
  readonly leaseMs: number;
}

/**
 * What a leader knows for as long as it leads: boxes, leases, membership. It
 * starts empty with each term.
 */
export class LeaderSession {
  readonly term: number;
  readonly #clock: clocks.Clock;
  readonly #syncRecorded = new csp.Signal();
  readonly #onMembershipChange: () => void;
  #table: boxTables.BoxTable;
  #servers: readonly backends.BackendServer[] | undefined;
  #membership: protocols.Membership | undefined;
  #membershipChanges = 0;

  /** @param onMembershipChange Told when boxes or servers changed. */
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

  /** Boxes and servers; undefined until every live box can have synced. */
  getMembership(): protocols.Membership | undefined {
    return this.#membership;
  }

  /** Backend servers as the box list told last. */
  getServers(): readonly backends.BackendServer[] {
    return this.#servers ?? [];
  }

  /** Notes what a box confirmed. */
  recordSync(view: protocols.BoxView, revision: number): void {
    this.#table = boxTables.recordSync(this.#table, view, revision);
    this.#syncRecorded.notify();
  }

  /** Notes that a lease is given to a box now. */
  grantLease(id: string): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#table = boxTables.grantLease(this.#table, id, nowMs);
  }

  /** Takes what the box list tells. */
  setServers(servers: readonly backends.BackendServer[]): void {
    this.#servers = servers;
    this.refresh();
  }

  /** Brings the membership up to date with leases and the box list. */
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

  /** Waits until a revision is in force on every box. */
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

  /** Describes every box for operators. */
  describeBoxes(): readonly protocols.BoxStatus[] {
    const nowMs = this.#clock.getMonotonicMs();
    return [...this.#table.records.values()].map((record) => ({
      ...record.view,
      revision: record.revision,
      leaseLeftMs: Math.round(record.leaseUntilMs - nowMs),
    }));
  }
}

/** Leases run out without a message, so the wait looks again after this. */
const IN_FORCE_CHECK_INTERVAL_MS = 50;

function isSameMembership(
  a: Pick<protocols.Membership, "boxes" | "servers">,
  b: Pick<protocols.Membership, "boxes" | "servers">,
): boolean {
  return JSON.stringify([a.boxes, a.servers]) ===
    JSON.stringify([b.boxes, b.servers]);
}
