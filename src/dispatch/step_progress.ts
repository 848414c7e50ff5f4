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
  /** Number of carried groups that are not complete. */
  #openCarriedGroups: number;

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
    this.#openCarriedGroups =
      [...this.#carriedGroups].filter((group) =>
        (this.#openItems.get(group)?.size ?? 0) > 0
      ).length;
  }

  /**
   * Marks an item as finished.
   *
   * @returns Whether this completed the last group that the trainer waits for.
   */
  finishItem(item: string): boolean {
    const group = this.#groupsByItem.get(item) ?? "";
    const open = this.#openItems.get(group);
    if (open === undefined || !open.delete(item) || open.size > 0) return false;
    const wasAwaited = this.#isAwaited();
    this.#completeGroups += 1;
    if (this.#carriedGroups.has(group)) this.#openCarriedGroups -= 1;
    return wasAwaited && !this.#isAwaited();
  }

  /** Returns the number of complete groups. */
  countCompleteGroups(): number {
    return this.#completeGroups;
  }

  /** Returns how many groups the desired number of complete ones still lacks. */
  countMissingGroups(): number {
    return Math.max(0, this.#desired - this.#completeGroups);
  }

  /**
   * Tells whether the trainer still waits: for the desired number of groups, and
   * for all carried ones among them.
   */
  #isAwaited(): boolean {
    return this.countMissingGroups() > 0 || this.#openCarriedGroups > 0;
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
