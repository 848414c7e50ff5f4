import * as usageWindows from "./usage_window.ts";

/** Requests of an account in a window that one box has counted so far. */
export interface UsageTotal {
  readonly window: number;
  readonly account: string;
  readonly count: number;
}

/**
 * Validates a total from another box: its fields, and that its window is neither
 * stale nor more than one window ahead, as a clock may differ by that much.
 *
 * @param total The total.
 * @param wallMs Wall-clock time, in Unix ms.
 * @param times Window length and report delay.
 * @returns Whether the total is plausible.
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

/** Counts the requests of accounts on one box, by window. */
export class UsageCounter {
  readonly #windows = new Map<number, Map<string, number>>();
  #hasUnsent = false;

  /** Adds a request of an account to a window. */
  count(window: number, account: string): void {
    const counts = this.#windows.get(window) ?? new Map<string, number>();
    counts.set(account, (counts.get(account) ?? 0) + 1);
    this.#windows.set(window, counts);
    this.#hasUnsent = true;
  }

  /** Whether there are totals to send, new ones or ones marked as unsent. */
  hasUnsent(): boolean {
    return this.#hasUnsent;
  }

  isEmpty(): boolean {
    return this.#windows.size === 0;
  }

  /** Returns the totals of all kept windows and marks them as sent. */
  takeTotals(): readonly UsageTotal[] {
    this.#hasUnsent = false;
    return [...this.#windows].flatMap(([window, counts]) =>
      [...counts].map(([account, count]) => ({ window, account, count }))
    );
  }

  /** Marks the totals as unsent, after sending them failed. */
  markUnsent(): void {
    this.#hasUnsent = true;
  }

  /** Discards the windows up to and including one. */
  discardThrough(window: number): void {
    deleteThrough(this.#windows, window);
  }
}

/**
 * Aggregates the running totals of all boxes. The result depends neither on the
 * order in which totals arrive nor on repetitions.
 */
export class UsageTotals {
  /** Highest total, by window, then by source and account. */
  readonly #windows = new Map<number, Map<string, UsageTotal>>();

  /**
   * Merges a running total, keeping the highest of each source.
   *
   * @param source Id and start time of the box; a restarted box is a new source.
   * @param total The total.
   * @returns Whether it is higher than the one known before.
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

  /** Sums the totals of a window over all sources, by account. */
  sum(window: number): usageWindows.UsageCounts {
    const counts: Record<string, number> = {};
    for (const total of this.#windows.get(window)?.values() ?? []) {
      counts[total.account] = (counts[total.account] ?? 0) + total.count;
    }
    return counts;
  }

  /** Discards the windows up to and including one. */
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
