import type * as submissions from "../submission/mod.ts";

/**
 * Tracks which groups of a step are complete. An item without a group is treated
 * as a group of its own.
 */
export class StepProgress {
  /** Unfinished items, by group. */
  readonly #openItems = new Map<string, Set<string>>();
  readonly #groupsByItem = new Map<string, string>();
  readonly #desired: number;
  readonly #carriedGroups: ReadonlySet<string>;
  #completeGroups = 0;

  /**
   * @param submission The step.
   * @param recorded Items whose results are already recorded.
   * @param isCarriedItem Tells whether an item was part of an earlier step.
   */
  constructor(
    submission: submissions.Submission,
    recorded: ReadonlySet<string>,
    isCarriedItem: (item: string) => boolean = () => false,
  ) {
    for (const item of submission.items) {
      const group = item.group ?? item.id;
      this.#groupsByItem.set(item.id, group);
      const open = this.#openItems.get(group) ?? new Set();
      this.#openItems.set(group, open);
      if (!recorded.has(item.id)) open.add(item.id);
    }
    this.#carriedGroups = new Set(
      submission.items.filter((item) => isCarriedItem(item.id))
        .map((item) => item.group ?? item.id),
    );
    const groups = [...this.#openItems.values()];
    this.#desired = Math.min(
      submission.desired ?? groups.length,
      groups.length,
    );
    this.#completeGroups = groups.filter((open) => open.size === 0).length;
  }

  /**
   * Marks an item as finished.
   *
   * @returns Whether this completed the last group that the step waits for.
   */
  finishItem(item: string): boolean {
    const open = this.#openItems.get(this.#groupsByItem.get(item) ?? "");
    if (open === undefined || !open.delete(item) || open.size > 0) return false;
    this.#completeGroups += 1;
    return this.#completeGroups === this.#desired;
  }

  /** Returns the number of complete groups. */
  countCompleteGroups(): number {
    return this.#completeGroups;
  }

  /** Returns the number of groups that the step still waits for. */
  countMissingGroups(): number {
    return Math.max(0, this.#desired - this.#completeGroups);
  }

  /** Tells whether the group is carried over from an earlier step. */
  isCarried(group: string): boolean {
    return this.#carriedGroups.has(group);
  }

  /** Counts the unfinished items in the group of an item. */
  countOpenItems(item: string): number {
    return this.#openItems.get(this.#groupsByItem.get(item) ?? "")?.size ?? 0;
  }
}
