import type * as itemRuns from "../item_run/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as itemTasks from "./item_task.ts";

/** Events that are worth keeping, about half a second of a run. */
const MIN_UNREPLICATED_EVENTS = 12;
const COMMIT_TIMEOUT_MS = 2_000;

/**
 * Has the stores keep the texts of long runs as they grow, so that a new leader
 * goes on with them. A result then carries only what follows, so hardly more
 * bytes are written.
 */
export class TextReplicator {
  readonly #group: replicaGroups.ReplicaGroup;
  #isBusy = false;

  constructor(group: replicaGroups.ReplicaGroup) {
    this.#group = group;
  }

  /** Keeps what has grown enough; one command is under way at a time. */
  async replicate(tasks: readonly itemTasks.ItemTask[]): Promise<void> {
    if (this.#isBusy) return;
    const parts = tasks.filter((task) =>
      task.phase === "running" &&
      task.progress.countUnkept() >= MIN_UNREPLICATED_EVENTS
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
    // A part that came later than the answer to it may have been kept.
    const updateProgress = outcome.value.isKnown ? markKept : forgetKept;
    for (const part of parts) updateProgress(part);
  }
}

/** A part of a text on its way to the stores. */
interface TextPart {
  readonly progress: itemRuns.TextProgress;
  /** Tells this text from one that began anew meanwhile. */
  readonly resetCount: number;
  readonly text: submissions.TextToKeep;
}

function markKept({ progress, resetCount: resetCount, text }: TextPart): void {
  if (progress.countBeginnings() === resetCount) progress.setKept(text.lastId);
}

function forgetKept({ progress }: TextPart): void {
  progress.forgetKept();
}

function createPart(task: itemTasks.ItemTask): readonly TextPart[] {
  const { progress, submission, item } = task;
  const lastId = progress.getLastId();
  if (lastId === undefined) return [];
  const text: submissions.TextToKeep = {
    submission: submission.id,
    item: item.id,
    afterId: progress.getKeptLastId(),
    text: progress.getUnkeptText(),
    lastId,
    versions: progress.listVersions(),
  };
  return [{ progress, resetCount: progress.countBeginnings(), text }];
}
