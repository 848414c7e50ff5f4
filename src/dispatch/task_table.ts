import type * as clocks from "../clock/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as itemTasks from "./item_task.ts";
import * as stepProgress from "./step_progress.ts";

/** Tasks for the items of open submissions. */
export class TaskTable {
  readonly #machine: submissions.SubmissionStateMachine;
  readonly #clock: clocks.Clock;
  readonly #tasks = new Map<string, Map<string, itemTasks.ItemTask>>();

  constructor(
    machine: submissions.SubmissionStateMachine,
    clock: clocks.Clock,
  ) {
    this.#machine = machine;
    this.#clock = clock;
  }

  /** Lists all tasks, including finished ones. */
  list(): readonly itemTasks.ItemTask[] {
    return [...this.#tasks.values()].flatMap((tasks) => [...tasks.values()]);
  }

  /** Cancels and removes all tasks. */
  cancelAll(): void {
    for (const tasks of this.#tasks.values()) cancelTasks(tasks);
    this.#tasks.clear();
  }

  /**
   * Creates tasks for new submissions and cancels those of ended ones.
   *
   * @returns The new tasks.
   */
  syncRecords(): readonly itemTasks.ItemTask[] {
    for (const [id, tasks] of this.#tasks) {
      const record = this.#machine.get(id);
      if (record !== undefined && !record.isEnded) continue;
      cancelTasks(tasks);
      this.#tasks.delete(id);
    }
    return this.#machine.listAll()
      .filter(({ submission, isEnded }) =>
        !isEnded && !this.#tasks.has(submission.id)
      )
      .flatMap((record) => this.#addRecord(record));
  }

  #addRecord(
    record: submissions.SubmissionRecord,
  ): readonly itemTasks.ItemTask[] {
    const { submission, resultIds: listed } = record;
    const carriedItems = this.#listCarriedItems(submission);
    const step = new stepProgress.StepProgress(
      submission,
      listed,
      (item) => carriedItems.has(item),
    );
    const tasks = submission.items.filter((item) => !listed.has(item.id))
      .map((item) => this.#createTask(record, item, step));
    const byId = tasks.map((task) => [task.item.id, task] as const);
    this.#tasks.set(submission.id, new Map(byId));
    return tasks;
  }

  /** Lists the ids of items in earlier steps of the same model. */
  #listCarriedItems(submission: submissions.Submission): ReadonlySet<string> {
    const { model, step } = submission;
    if (model === undefined || step === undefined) return new Set();
    const earlier = this.#machine.listAll().filter((other) =>
      other.submission.model === model &&
      (other.submission.step ?? step) < step
    );
    return new Set(
      earlier.flatMap((other) => other.submission.items.map(({ id }) => id)),
    );
  }

  /** Creates a task, restoring stored text from this or another submission. */
  #createTask(
    record: submissions.SubmissionRecord,
    item: submissions.SubmissionItem,
    step: stepProgress.StepProgress,
  ): itemTasks.ItemTask {
    const nowMs = this.#clock.getMonotonicMs();
    const task = new itemTasks.ItemTask(record.submission, item, step, nowMs);
    const keptText = record.storedTexts.get(item.id);
    if (keptText !== undefined) task.restore([keptText], true);
    else task.restore(this.#machine.findTexts(item.id), false);
    return task;
  }
}

function cancelTasks(tasks: ReadonlyMap<string, itemTasks.ItemTask>): void {
  for (const task of tasks.values()) task.cancellation.cancel();
}
