import type * as usageWindows from "./usage_window.ts";

/** Commands that change the replicated usage state. */
export type UsageCommand =
  /** Closes a window with its final counts, which every report of it contains. */
  | {
    readonly kind: "closeUsageWindow";
    readonly closed: usageWindows.ClosedWindow;
  }
  /** Marks a window as reported, or as abandoned. */
  | { readonly kind: "noteUsageReported"; readonly window: number };

/** Usage state as stored in snapshots. */
export interface SavedUsage {
  readonly lastClosed: number | undefined;
  readonly unreported: readonly usageWindows.ClosedWindow[];
}

/** Replicated state: the closed windows and which of them are unreported. */
export class UsageState {
  #lastClosed: number | undefined;
  #unreported: readonly usageWindows.ClosedWindow[] = [];

  /** Latest closed window; undefined if none has been closed. */
  getLastClosed(): number | undefined {
    return this.#lastClosed;
  }

  /** Closed windows that are not marked as reported, oldest first. */
  listUnreported(): readonly usageWindows.ClosedWindow[] {
    return this.#unreported;
  }

  /** Applies a committed command. */
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

  /** Replaces the state; `undefined`, from older snapshots, empties it. */
  restore(saved: SavedUsage | undefined): void {
    this.#lastClosed = saved?.lastClosed;
    this.#unreported = saved?.unreported ?? [];
  }

  /** Closes a window; ignored if it or a later one is closed already. */
  #closeWindow(closed: usageWindows.ClosedWindow): void {
    if (closed.window <= (this.#lastClosed ?? -1)) return;
    this.#lastClosed = closed.window;
    this.#unreported = [...this.#unreported, closed];
  }
}
