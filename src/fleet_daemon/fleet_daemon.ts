import * as clocks from "../clock/mod.ts";
import * as boxComponents from "./box_components.ts";
import * as entryBoxes from "./entry_box.ts";
import * as storeBoxes from "./store_box.ts";

/** Between two looks at whether the box may take callers, in ms. */
const CHECK_INTERVAL_MS = 100;
/** Kept back from the time that a planned stop may take, in ms. */
const STOP_MARGIN_MS = 1_200;
/** Longest time that a store box waits after handing over, in ms. */
const STORE_DRAIN_MS = 1_000;
/** Time without a request after which a leaving box may end, in ms. */
const MIN_IDLE_MS = 1_500;
const IDLE_CHECK_INTERVAL_MS = 50;
/** Age of the settings' oldest address answers, as multiples of their time. */
const ADDRESS_LIFETIME_FACTOR = 1.2;

/** How a box ended. */
export type BoxEnd =
  | { readonly kind: "stopped" }
  | { readonly kind: "failed"; readonly error: unknown };

/** One box of a fleet: an entry box or a store box. */
export class FleetDaemon {
  readonly #components: boxComponents.BoxComponents;
  readonly #entry: entryBoxes.EntryBox | undefined;
  readonly #store: storeBoxes.StoreBox | undefined;
  readonly #onEnd: (end: BoxEnd) => void;
  #isEnded = false;

  /** @param onEnd Told once, when the box has ended. */
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

  /** Starts all parts; resolves once this box listens. */
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
   * Begins the planned stop: the box leaves the address answers, hands its
   * leadership over, serves what still comes, and ends.
   */
  async drain(): Promise<void> {
    const { status: status, link, log } = this.#components;
    if (status.isLeaving) return;
    status.isLeaving = true;
    log.write("info", "drain.began", { inFlight: this.#entry?.getInFlight() });
    link.publishSelf();
    await Promise.all([this.#entry?.setDraining(), this.#store?.setDraining()]);
    await (this.#entry === undefined
      ? clocks.sleep(this.#components.clock, STORE_DRAIN_MS)
      : this.#awaitIdle(this.#entry));
    log.write("info", "drain.ended", { inFlight: this.#entry?.getInFlight() });
    await this.#stopComponents();
    this.#end({ kind: "stopped" });
  }

  /** Waits until no caller comes any more, or the time is over. */
  async #awaitIdle(entry: entryBoxes.EntryBox): Promise<void> {
    const { clock, settings: { bounds } } = this.#components;
    const startMs = clock.getMonotonicMs();
    const endMs = startMs + bounds.stopMs - STOP_MARGIN_MS;
    let lastBusyMs = startMs +
      bounds.addressesKeepMs * ADDRESS_LIFETIME_FACTOR - MIN_IDLE_MS;
    while (clock.getMonotonicMs() < endMs) {
      const nowMs = clock.getMonotonicMs();
      if (entry.getInFlight() > 0) lastBusyMs = Math.max(lastBusyMs, nowMs);
      if (nowMs - lastBusyMs > MIN_IDLE_MS) return;
      await clocks.sleep(clock, IDLE_CHECK_INTERVAL_MS);
    }
  }

  /** Takes callers once a configuration is in force. */
  #refreshStatus(): void {
    const { configuration, status: status, link, clock, log, lines, metrics } =
      this.#components;
    if (this.#isEnded) return;
    metrics.setDroppedLogLines(lines.getDroppedCount());
    this.#entry?.applyLimits();
    if (!status.isReady && configuration.getVersion() > 0) {
      status.isReady = true;
      log.write("info", "box.ready", { version: configuration.getVersion() });
      link.publishSelf();
    }
    this.#publishLeadership();
    clock.startTimer(CHECK_INTERVAL_MS, () => this.#refreshStatus());
  }

  /** Tells the fleet when this box begins to lead its group. */
  #publishLeadership(): void {
    const { status: status, link } = this.#components;
    const term = this.#store?.getLeadTerm() ?? this.#entry?.getLeadTerm() ?? 0;
    if (term <= status.ledTerm) return;
    status.ledTerm = term;
    link.publishSelf();
  }

  /** Stops at once, cutting what is under way. */
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
