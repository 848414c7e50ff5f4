import * as boxComponents from "./box_components.ts";
import * as entryBoxes from "./entry_box.ts";
import * as plannedStops from "./_planned_stop.ts";
import * as storeBoxes from "./store_box.ts";

/** Interval between refreshes of the box's status, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Delay of a refresh that is logged as a stall of the process, in ms. */
const MIN_STALL_MS = 400;
/** Busy share of the event loop from which it is logged. */
const OVERLOADED_SHARE = 0.9;
/** Shortest interval between two lines about an overload, in ms. */
const OVERLOAD_LOG_INTERVAL_MS = 1_000;

/** How the daemon of a box ended. */
export type BoxEnd =
  | { readonly kind: "stopped" }
  | { readonly kind: "failed"; readonly error: unknown };

/** Runs one box of a fleet with its roles: entry box, store box or both. */
export class FleetDaemon {
  readonly #components: boxComponents.BoxComponents;
  readonly #entry: entryBoxes.EntryBox | undefined;
  readonly #store: storeBoxes.StoreBox | undefined;
  readonly #onEnd: (end: BoxEnd) => void;
  #isEnded = false;
  /** Monotonic time at which the next refresh is due, in ms. */
  #refreshDueMs = Number.POSITIVE_INFINITY;
  /** When an overload was last logged, in monotonic ms. */
  #overloadLoggedMs = Number.NEGATIVE_INFINITY;

  /** @param onEnd Called once, when the daemon has stopped or failed. */
  constructor(
    context: Omit<boxComponents.BoxContext, "onFatal">,
    onEnd: (end: BoxEnd) => void,
  ) {
    this.#onEnd = onEnd;
    this.#components = boxComponents.createBoxComponents({
      ...context,
      onFatal: (error) => this.#end({ kind: "failed", error }),
    });
    const { roles, dataFolder } = context.settings;
    this.#entry = roles.entry
      ? new entryBoxes.EntryBox(this.#components)
      : undefined;
    this.#store = roles.store && dataFolder !== undefined
      ? new storeBoxes.StoreBox(this.#components, dataFolder)
      : undefined;
  }

  /**
   * Starts all components; resolves once the box listens. The replica groups
   * are joined in the background; an error there ends the daemon as failed.
   */
  async start(): Promise<void> {
    const { settings, server, link, log, metrics } = this.#components;
    const { box, listen } = settings;
    await server.listen(box.address, listen.peerPort);
    await this.#entry?.start();
    if (listen.metrics !== undefined) {
      metrics.listen(box.address, listen.metrics);
    }
    link.start();
    log.write("info", "box.started", {
      address: box.address,
      failureDomain: box.failureDomain,
      hasDisk: settings.dataFolder !== undefined,
      isFirstStart: settings.isFirstStart,
    });
    this.#refreshStatus();
    const joins = [this.#entry?.join(), this.#store?.join()];
    Promise.all(joins).catch((error: unknown) =>
      this.#end({ kind: "failed", error })
    );
  }

  /**
   * Shuts down gracefully: removes the box from the address answers, transfers
   * its leadership, answers the requests that still arrive, then stops. Further
   * calls have no effect. An error ends the daemon as failed.
   */
  async drain(): Promise<void> {
    if (this.#components.status.isLeaving) return;
    try {
      await this.#runDrain();
    } catch (error) {
      this.#end({ kind: "failed", error });
    }
  }

  async #runDrain(): Promise<void> {
    const { settings: { bounds }, clock, log } = this.#components;
    await new plannedStops.PlannedStop({
      ...this.#components,
      bounds,
      entry: this.#entry,
      startLeaving: () => this.#startLeaving(),
    }).run();
    const startMs = clock.getMonotonicMs();
    await this.#stopComponents();
    log.write("info", "components.stopped", {
      tookMs: Math.round(clock.getMonotonicMs() - startMs),
    });
    this.#end({ kind: "stopped" });
  }

  async #startLeaving(): Promise<void> {
    this.#components.link.publishSelf();
    await Promise.all([this.#entry?.setDraining(), this.#store?.setDraining()]);
  }

  /**
   * Applies the configured limits, marks the box as ready once a configuration
   * is in force, publishes a new leadership, and schedules the next refresh.
   */
  #refreshStatus(): void {
    const { configuration, status, link, clock, log, lines, metrics } =
      this.#components;
    if (this.#isEnded) return;
    this.#components.memoryGuard.check();
    this.#reportStall();
    this.#reportOverload();
    metrics.process.setDroppedLogLines(lines.getDroppedCount());
    metrics.configuration.setBehindMs(configuration.getBehindMs());
    this.#entry?.applyLimits();
    if (!status.isReady && configuration.getVersion() > 0) {
      status.isReady = true;
      log.write("info", "box.ready", { version: configuration.getVersion() });
      link.publishSelf();
    }
    this.#publishLeadership();
    this.#refreshDueMs = clock.getMonotonicMs() + CHECK_INTERVAL_MS;
    clock.startTimer(CHECK_INTERVAL_MS, () => this.#refreshStatus());
  }

  /** Reports that the process was not run for long before this refresh. */
  #reportStall(): void {
    const { clock, log, metrics, configuration } = this.#components;
    const stalledMs = clock.getMonotonicMs() - this.#refreshDueMs;
    if (stalledMs < MIN_STALL_MS) return;
    metrics.process.addStalledMs(stalledMs);
    log.write("warn", "process.stalled", {
      stalledMs: Math.round(stalledMs),
      configuration: configuration.getVersion(),
    });
  }

  /** Logs that the event loop has hardly any time left. */
  #reportOverload(): void {
    const { clock, log, metrics, busyMonitor } = this.#components;
    busyMonitor.takeSample();
    const busyShare = busyMonitor.getBusyShare();
    metrics.process.setBusyShare(busyShare);
    const nowMs = clock.getMonotonicMs();
    const isDue = nowMs - this.#overloadLoggedMs >= OVERLOAD_LOG_INTERVAL_MS;
    if (busyShare < OVERLOADED_SHARE || !isDue) return;
    this.#overloadLoggedMs = nowMs;
    log.write("warn", "process.overloaded", {
      busyPercent: Math.round(busyShare * 100),
      lateMs: Math.max(0, Math.round(nowMs - this.#refreshDueMs)),
    });
  }

  /** Publishes the term when this box has become leader of its group. */
  #publishLeadership(): void {
    const { status, link } = this.#components;
    const term = this.#store?.getLeadTerm() ?? this.#entry?.getLeadTerm() ?? 0;
    if (term <= status.ledTerm) return;
    status.ledTerm = term;
    link.publishSelf();
  }

  /** Stops immediately and aborts requests in flight. */
  async stop(): Promise<void> {
    await this.#stopComponents();
    this.#end({ kind: "stopped" });
  }

  async #stopComponents(): Promise<void> {
    const { link, server, peers, metrics } = this.#components;
    link.stop();
    await this.#entry?.stop();
    await this.#store?.stop();
    server.close();
    peers.close();
    metrics.close();
  }

  #end(end: BoxEnd): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const { log } = this.#components;
    if (end.kind === "failed") {
      const error = end.error as Error;
      log.write("error", "box.failed", {
        message: error.stack ?? String(error),
      });
    } else log.write("info", "box.stopped");
    this.#onEnd(end);
  }
}
