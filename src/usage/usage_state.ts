import type * as usageWindows from "./usage_window.ts";

/** Changes what is agreed on about usage. */
export type UsageCommand =
  /** Fixes the counts of a window; whoever reports it repeats just these. */
  | {
    readonly kind: "closeUsageWindow";
    readonly closed: usageWindows.ClosedWindow;
  }
  | { readonly kind: "noteUsageReported"; readonly window: number };

/** Saved state of a usage book. */
export interface SavedUsage {
  readonly lastClosed: number | undefined;
  readonly unreported: readonly usageWindows.ClosedWindow[];
}

/** The windows whose counts all replicas agree on. */
export class UsageState {
  #lastClosed: number | undefined;
  #unreported: readonly usageWindows.ClosedWindow[] = [];

  /** Newest window with agreed counts; undefined for none. */
  getLastClosed(): number | undefined {
    return this.#lastClosed;
  }

  /** Windows that are not known to be reported, oldest first. */
  listUnreported(): readonly usageWindows.ClosedWindow[] {
    return this.#unreported;
  }

  apply(command: UsageCommand): void {
    switch (command.kind) {
      case "closeUsageWindow":
        return this.#closeWindow(command.closed);
      case "noteUsageReported":
        this.#unreported = this.#unreported.filter(({ window }) =>
          window !== command.window
        );
    }
  }

  save(): SavedUsage {
    return { lastClosed: this.#lastClosed, unreported: this.#unreported };
  }

  restore(saved: SavedUsage | undefined): void {
    this.#lastClosed = saved?.lastClosed;
    this.#unreported = saved?.unreported ?? [];
  }

  /** The counts that were fixed first hold. */
  #closeWindow(closed: usageWindows.ClosedWindow): void {
    if (closed.window <= (this.#lastClosed ?? -1)) return;
    this.#lastClosed = closed.window;
    this.#unreported = [...this.#unreported, closed];
  }
}
