import type * as itemRuns from "../item_run/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as itemTasks from "./item_task.ts";

/** Number of new events after which a text is replicated again. */
const MIN_UNREPLICATED_EVENTS = 12;
/** Timeout of a commit, in ms. */
const COMMIT_TIMEOUT_MS = 2_000;

/**
 * Replicates the partial texts of long runs to the stores, so that a new leader
 * can resume them. Each command, and later the result, carries only the text
 * after the stored part.
 */
export class TextReplicator {
  readonly #group: replicaGroups.ReplicaGroup;
  #isBusy = false;

  constructor(group: replicaGroups.ReplicaGroup) {
    this.#group = group;
  }

  /** Replicates texts with enough new events; one command at a time. */
  async replicate(tasks: readonly itemTasks.ItemTask[]): Promise<void> {
    if (this.#isBusy) return;
    const parts = tasks.filter((task) =>
      task.phase === "running" &&
      task.progress.countUnstoredEvents() >= MIN_UNREPLICATED_EVENTS
    ).flatMap(createPart);
    if (parts.length === 0) return;
    this.#isBusy = true;
    const command: submissions.SubmissionCommand = {
      kind: "keepTexts",
      texts: parts.map((part) => part.text),
    };
    const outcome = await this.#group.propose<submissions.SubmissionAnswer>(
      command,
      COMMIT_TIMEOUT_MS,
    );
    this.#isBusy = false;
    if (outcome.kind !== "ok") return;
    // A command that timed out may have been committed later, so the stored
    // part can differ from the one assumed here.
    const updateProgress = outcome.value.isKnown ? markKept : forgetKept;
    for (const part of parts) updateProgress(part);
  }
}

/** A part of a text that is being replicated. */
interface TextPart {
  readonly progress: itemRuns.TextProgress;
  /** Reset count of the text; differs if the text was reset meanwhile. */
  readonly resetCount: number;
  readonly text: submissions.TextToStore;
}

function markKept({ progress, resetCount, text }: TextPart): void {
  if (progress.countResets() === resetCount) progress.markStored(text.lastId);
}

function forgetKept({ progress }: TextPart): void {
  progress.clearStored();
}

function createPart(task: itemTasks.ItemTask): readonly TextPart[] {
  const { progress, submission, item } = task;
  const lastId = progress.getLastId();
  if (lastId === undefined) return [];
  const text: submissions.TextToStore = {
    submission: submission.id,
    item: item.id,
    afterId: progress.getStoredLastId(),
    text: progress.getUnstoredText(),
    lastId,
    versions: progress.listVersions(),
  };
  return [{ progress, resetCount: progress.countResets(), text }];
}
