import * as clocks from "../clock/mod.ts";
import type * as fleetSettings from "../fleet_settings/mod.ts";
import type * as logs from "../log/mod.ts";
import * as addressLifetimes from "./_address_lifetime.ts";
import type * as boxComponents from "./box_components.ts";
import type * as entryBoxes from "./entry_box.ts";

/**
 * Part of the stop timeout left for sending the last answers and closing the
 * components, in ms. A kill while components close loses nothing.
 */
const STOP_MARGIN_MS = 150;
/** Time allowed for sending the answers to ended requests, in ms. */
const FLUSH_TIMEOUT_MS = 50;
/** Time that a store box keeps serving after it has resigned, in ms. */
const STORE_DRAIN_MS = 1_000;
/** Time without requests in flight after which a box may stop early, in ms. */
const MIN_IDLE_MS = 1_500;
/** Interval between checks for requests in flight, in ms. */
const CHECK_INTERVAL_MS = 20;

/** The entry role of a box, as far as a planned stop needs it. */
export type StoppableEntry = Pick<
  entryBoxes.EntryBox,
  | "getInFlight"
  | "countExchanges"
  | "closeListeners"
  | "endExchanges"
  | "recordCutExchanges"
>;

/** Dependencies of `PlannedStop`. */
export interface PlannedStopOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly bounds: Pick<
    fleetSettings.FleetSettings["bounds"],
    "stopMs" | "addressesKeepMs"
  >;
  readonly status: boxComponents.BoxStatus;
  readonly entry: StoppableEntry | undefined;
  /** Tells other boxes that this one leaves, and transfers leaderships. */
  readonly startLeaving: () => Promise<void>;
}

/**
 * Brings a box from SIGTERM to the point at which its components can be stopped:
 * every request that it has read has an answer then.
 */
export class PlannedStop {
  readonly #options: PlannedStopOptions;

  constructor(options: PlannedStopOptions) {
    this.#options = options;
  }

  /** Runs the stop; resolves when nothing is in flight any more. */
  async run(): Promise<void> {
    const { clock, log, bounds, status, entry, startLeaving } = this.#options;
    const startMs = clock.getMonotonicMs();
    const endMs = startMs + Math.max(0, bounds.stopMs - STOP_MARGIN_MS);
    status.isLeaving = true;
    status.servesUntilMs = endMs;
    log.write("info", "drain.began", {
      inFlight: entry?.countExchanges(),
      servesForMs: Math.round(endMs - startMs),
    });
    await startLeaving();
    if (entry === undefined) await clocks.sleep(clock, STORE_DRAIN_MS);
    else await this.#drainEntry(entry, startMs, endMs);
    log.write("info", "drain.ended", {
      inFlight: entry?.countExchanges(),
      tookMs: Math.round(clock.getMonotonicMs() - startMs),
    });
  }

  async #drainEntry(
    entry: StoppableEntry,
    startMs: number,
    endMs: number,
  ): Promise<void> {
    const { clock, status } = this.#options;
    await this.#awaitIdle(entry, startMs, endMs);
    entry.closeListeners();
    await this.#awaitNoExchanges(entry, endMs);
    // What is still read, on a connection without a request so far, is refused.
    status.servesUntilMs = clock.getMonotonicMs();
    entry.endExchanges();
    await this.#awaitNoExchanges(
      entry,
      status.servesUntilMs + FLUSH_TIMEOUT_MS,
    );
    entry.recordCutExchanges();
  }

  /**
   * Waits until address answers that name this box have expired and no request of
   * a caller has been in flight for `MIN_IDLE_MS`, at most until `endMs`.
   */
  async #awaitIdle(
    entry: StoppableEntry,
    startMs: number,
    endMs: number,
  ): Promise<void> {
    const { clock, bounds } = this.#options;
    const usedMs = addressLifetimes.getMaxAddressUseMs(bounds.addressesKeepMs);
    let lastBusyMs = startMs + usedMs - MIN_IDLE_MS;
    for (;;) {
      const nowMs = clock.getMonotonicMs();
      if (nowMs >= endMs) return;
      if (entry.getInFlight() > 0) lastBusyMs = Math.max(lastBusyMs, nowMs);
      if (nowMs - lastBusyMs > MIN_IDLE_MS) return;
      await clocks.sleep(clock, Math.min(CHECK_INTERVAL_MS, endMs - nowMs));
    }
  }

  /** Waits until no listener has a request in flight, at most until `endMs`. */
  async #awaitNoExchanges(
    entry: StoppableEntry,
    endMs: number,
  ): Promise<void> {
    const { clock } = this.#options;
    while (entry.countExchanges() > 0) {
      const remainingMs = endMs - clock.getMonotonicMs();
      if (remainingMs <= 0) return;
      await clocks.sleep(clock, Math.min(CHECK_INTERVAL_MS, remainingMs));
    }
  }
}
