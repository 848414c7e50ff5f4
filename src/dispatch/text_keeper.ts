import type * as itemRuns from "../item_run/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as itemTasks from "./item_task.ts";

/** Events that are worth keeping, about half a second of a run. */
const MIN_EVENTS = 12;
const COMMIT_MS = 2_000;

/**
 * Has the stores keep the texts of long runs as they grow, so that a new leader
 * goes on with them. A result then carries only what follows, so hardly more
 * bytes are written.
 */
export class TextKeeper {
  readonly #group: replicaGroups.ReplicaGroup;
  #isBusy = false;

  constructor(group: replicaGroups.ReplicaGroup) {
    this.#group = group;
  }

  /** Keeps what has grown enough; one command is under way at a time. */
  async keep(tasks: readonly itemTasks.ItemTask[]): Promise<void> {
    if (this.#isBusy) return;
    const parts = tasks.filter((task) =>
      task.phase === "running" && task.progress.countUnkept() >= MIN_EVENTS
    ).flatMap(createPart);
    if (parts.length === 0) return;
    this.#isBusy = true;
    const command: submissions.SubmissionCommand = {
      kind: "keepTexts",
      texts: parts.map((part) => part.text),
    };
    const done = await this.#group.propose<submissions.SubmissionAnswer>(
      command,
      COMMIT_MS,
    );
    this.#isBusy = false;
    if (done.kind !== "ok") return;
    // A part that came later than the answer to it may have been kept.
    const note = done.value.isKnown ? noteKept : forgetKept;
    for (const part of parts) note(part);
  }
}

/** A part of a text on its way to the stores. */
interface TextPart {
  readonly progress: itemRuns.TextProgress;
  /** Tells this text from one that began anew meanwhile. */
  readonly beginnings: number;
  readonly text: submissions.TextToStore;
}

function noteKept({ progress, beginnings, text }: TextPart): void {
  if (progress.countBeginnings() === beginnings) progress.setKept(text.lastId);
}

function forgetKept({ progress }: TextPart): void {
  progress.forgetKept();
}

function createPart(task: itemTasks.ItemTask): readonly TextPart[] {
  const { progress, submission, item } = task;
  const lastId = progress.getLastId();
  if (lastId === undefined) return [];
  const text: submissions.TextToStore = {
    submission: submission.id,
    item: item.id,
    afterId: progress.getKeptLastId(),
    text: progress.getUnkeptText(),
    lastId,
    versions: progress.listVersions(),
  };
  return [{ progress, beginnings: progress.countBeginnings(), text }];
}
