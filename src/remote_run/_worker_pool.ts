import type * as clocks from "../clock/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";

/** Time without a report after which a box with runs is silent, in ms. */
const SILENCE_TIMEOUT_MS = 1_200;
/** Time for which a box that did not run an item gets no more, in ms. */
const AVOID_MS = 1_000;

/** Longest silence of a replica that gets runs, in ms. */
const MAX_REPLICA_SILENCE_MS = 600;

/** Options of a worker pool. */
export interface WorkerPoolOptions {
  readonly clock: clocks.Clock;
  /** Id of this box. */
  readonly id: string;
  readonly directory: Pick<fleet.BoxDirectory, "listAlive">;
  readonly group: Pick<replicaGroups.ReplicaGroup, "getStatus">;
}

/** A box that runs items for this one. */
interface Worker {
  runs: number;
  /** When it last reported or got its first run, in monotonic ms. */
  heardAtMs: number;
}

/** Chooses the store boxes that run items for this one. */
export class WorkerPool {
  readonly #options: WorkerPoolOptions;
  readonly #workers = new Map<string, Worker>();
  /** Until when each box gets no runs, in monotonic ms. */
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(options: WorkerPoolOptions) {
    this.#options = options;
  }

  /**
   * Picks the box with the fewest runs, in a failure domain if it has any: bytes of
   * a stream cross no failure domain then before they are compressed.
   *
   * @returns Id of the box; undefined if there is none.
   */
  pick(failureDomain: string): string | undefined {
    const replicas = this.#listReplicas();
    const boxes = this.#options.directory.listAlive().filter((box) =>
      replicas.has(box.id) && !box.isLeaving
    );
    const near = boxes.filter((box) => box.failureDomain === failureDomain);
    return (near.length > 0 ? near : boxes)
      .toSorted((a, b) => this.#countRuns(a.id) - this.#countRuns(b.id))
      .at(0)?.id;
  }

  addRun(worker: string): void {
    const known = this.#workers.get(worker);
    if (known !== undefined) {
      known.runs += 1;
      return;
    }
    const heardAtMs = this.#options.clock.getMonotonicMs();
    this.#workers.set(worker, { runs: 1, heardAtMs });
  }

  removeRun(worker: string): void {
    const known = this.#workers.get(worker);
    if (known === undefined) return;
    known.runs -= 1;
    if (known.runs === 0) this.#workers.delete(worker);
  }

  /** Picks a box no more for a while. */
  avoid(worker: string): void {
    const untilMs = this.#options.clock.getMonotonicMs() + AVOID_MS;
    this.#avoidedUntilMs.set(worker, untilMs);
  }

  recordReport(worker: string): void {
    const known = this.#workers.get(worker);
    if (known === undefined) return;
    known.heardAtMs = this.#options.clock.getMonotonicMs();
  }

  /** Lists the boxes with runs that report nothing any more. */
  listSilent(): readonly string[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    return [...this.#workers]
      .filter(([, { heardAtMs }]) => nowMs - heardAtMs >= SILENCE_TIMEOUT_MS)
      .map(([id]) => id);
  }

  /** Lists the replicas that hold the submissions and are not avoided. */
  #listReplicas(): ReadonlySet<string> {
    const { clock, group, id } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const followers = group.getStatus()?.followers ?? [];
    const ids = followers
      .filter(({ isAdmitted, silentMs }) =>
        isAdmitted && silentMs < MAX_REPLICA_SILENCE_MS
      )
      .map((follower) => follower.id);
    return new Set(
      ids.filter((other) =>
        other !== id && (this.#avoidedUntilMs.get(other) ?? 0) <= nowMs
      ),
    );
  }

  #countRuns(worker: string): number {
    return this.#workers.get(worker)?.runs ?? 0;
  }
}
