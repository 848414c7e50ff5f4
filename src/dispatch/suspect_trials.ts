import type * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as itemTasks from "./item_task.ts";

/** A run of suspect work that has made no event so far. */
interface Trial {
  readonly task: itemTasks.ItemTask;
  readonly engine: registry.LifetimeKey;
  /** Start of the run, in monotonic ms. */
  readonly startedAtMs: number;
}

/**
 * Runs of work under which engines crashed, until their first event. There is one
 * at a time of each piece of work, so that work that does crash engines takes one
 * of them with each trial, and not one with each item of its group.
 */
export class SuspectTrials {
  readonly #trials = new Map<crashRecords.WorkDigest, Trial>();

  /** Returns when the trial of a piece of work began, in monotonic ms, if any. */
  getStartMs(digest: crashRecords.WorkDigest): number | undefined {
    return this.#trials.get(digest)?.startedAtMs;
  }

  /** Returns the engines with a trial. */
  getEngines(): ReadonlySet<registry.LifetimeKey> {
    return new Set([...this.#trials.values()].map(({ engine }) => engine));
  }

  begin(
    task: itemTasks.ItemTask,
    engine: registry.LifetimeKey,
    startedAtMs: number,
  ): void {
    this.#trials.set(task.getWorkDigest(), { task, engine, startedAtMs });
  }

  /** Ends the trial of a task; returns whether there was one. */
  end(task: itemTasks.ItemTask): boolean {
    if (this.#trials.size === 0) return false;
    const digest = task.getWorkDigest();
    if (this.#trials.get(digest)?.task !== task) return false;
    return this.#trials.delete(digest);
  }
}
