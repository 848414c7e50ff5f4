import * as usageWindows from "./usage_window.ts";

/** Running total of an account in a window at one box. */
export interface UsageTotal {
  readonly window: number;
  readonly account: string;
  readonly count: number;
}

/**
 * Tells whether a total can be what a box counted: its clock may be off by a
 * window, no more.
 *
 * @param total The total, from another box.
 * @param wallMs Wall time, in ms.
 * @param times Windows.
 * @returns Whether to take it.
 */
export function isPlausible(
  { window, account, count }: UsageTotal,
  wallMs: number,
  times: usageWindows.WindowTimings,
): boolean {
  if (!Number.isInteger(window) || !Number.isInteger(count)) return false;
  if (typeof account !== "string" || count <= 0) return false;
  return window >= usageWindows.getOldestWindow(wallMs, times) &&
    window <= usageWindows.getWindow(wallMs, times) + 1;
}

/** What one box counted since its start. */
export class UsageCounter {
  readonly #windows = new Map<number, Map<string, number>>();
  #hasUnsent = false;

  /** Counts a request of an account in a window. */
  count(window: number, account: string): void {
    const counts = this.#windows.get(window) ?? new Map<string, number>();
    counts.set(account, (counts.get(account) ?? 0) + 1);
    this.#windows.set(window, counts);
    this.#hasUnsent = true;
  }

  /** Whether something was counted since the totals were taken. */
  hasUnsent(): boolean {
    return this.#hasUnsent;
  }

  isEmpty(): boolean {
    return this.#windows.size === 0;
  }

  /** Running totals of all windows that are not forgotten. */
  takeTotals(): readonly UsageTotal[] {
    this.#hasUnsent = false;
    return [...this.#windows].flatMap(([window, counts]) =>
      [...counts].map(([account, count]) => ({ window, account, count }))
    );
  }

  /** Has the totals told again, as none of them may have arrived. */
  markUnsent(): void {
    this.#hasUnsent = true;
  }

  /** Forgets windows up to one that is agreed on. */
  discardThrough(window: number): void {
    deleteThrough(this.#windows, window);
  }
}

/** Running totals of boxes, whatever order they come in and how often. */
export class UsageTotals {
  /** Highest total by window, then by box, its start and account. */
  readonly #windows = new Map<number, Map<string, UsageTotal>>();

  /**
   * Takes a running total; the highest holds, so that nothing counts twice.
   *
   * @param source The box and its start; another start counts anew.
   * @returns Whether it says more than was known.
   */
  merge(source: string, total: UsageTotal): boolean {
    const totals = this.#windows.get(total.window) ?? new Map();
    const key = `${source} ${total.account}`;
    const previous = totals.get(key)?.count ?? 0;
    const isHigher = total.count > previous;
    if (isHigher) totals.set(key, total);
    this.#windows.set(total.window, totals);
    return isHigher;
  }

  /** Sums a window over all boxes, by account. */
  sum(window: number): usageWindows.UsageCounts {
    const counts: Record<string, number> = {};
    for (const total of this.#windows.get(window)?.values() ?? []) {
      counts[total.account] = (counts[total.account] ?? 0) + total.count;
    }
    return counts;
  }

  /** Forgets windows up to one that is agreed on. */
  discardThrough(window: number): void {
    deleteThrough(this.#windows, window);
  }
}

function deleteThrough(
  windows: Map<number, unknown>,
  window: number,
): void {
  for (const key of windows.keys()) {
    if (key <= window) windows.delete(key);
  }
}
