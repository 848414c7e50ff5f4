import type * as submissions from "../submission/mod.ts";

/**
 * Which groups of a step are whole. An item without a group is a group of its
 * own, so that plain submissions are followed in the same way.
 */
export class StepProgress {
  /** Items that are not finished yet, by group. */
  readonly #openItems = new Map<string, Set<string>>();
  readonly #groupsByItem = new Map<string, string>();
  readonly #desired: number;
  readonly #carriedGroups: ReadonlySet<string>;
  #completeGroups = 0;

  /**
   * @param submission The step.
   * @param recorded Items whose results are listed already.
   * @param isCarriedItem Tells whether an earlier step brought an item.
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
   * Notes that an item is finished.
   *
   * @returns Whether this made the last group whole that the step waits for.
   */
  finishItem(item: string): boolean {
    const open = this.#openItems.get(this.#groupsByItem.get(item) ?? "");
    if (open === undefined || !open.delete(item) || open.size > 0) return false;
    this.#completeGroups += 1;
    return this.#completeGroups === this.#desired;
  }

  /** Whole groups so far. */
  countCompleteGroups(): number {
    return this.#completeGroups;
  }

  /** Whole groups that the step still waits for. */
  countMissingGroups(): number {
    return Math.max(0, this.#desired - this.#completeGroups);
  }

  /** Whether an earlier step brought the group; it must be whole for this one. */
  isCarried(group: string): boolean {
    return this.#carriedGroups.has(group);
  }

  /** Unfinished items of an item's group, that item among them. */
  countOpenItems(item: string): number {
    return this.#openItems.get(this.#groupsByItem.get(item) ?? "")?.size ?? 0;
  }
}
