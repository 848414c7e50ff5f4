import * as clocks from "../clock/mod.ts";
import * as boxParts from "./box_parts.ts";
import * as entryBoxes from "./entry_box.ts";
import * as storeBoxes from "./store_box.ts";

/** Between two looks at whether the box may take callers, in ms. */
const READY_CHECK_MS = 100;
/** Kept back from the time that a planned stop may take, in ms. */
const STOP_MARGIN_MS = 1_200;
/** Longest time that a store box waits after handing over, in ms. */
const STORE_STOP_MS = 1_000;
/** Time without a request after which a leaving box may end, in ms. */
const QUIET_MS = 1_500;
const QUIET_CHECK_MS = 50;
/** Age of the settings' oldest address answers, as multiples of their time. */
const STALE_ANSWERS = 1.2;

/** How a box ended. */
export type BoxEnd =
  | { readonly kind: "stopped" }
  | { readonly kind: "failed"; readonly error: unknown };

/** One box of a fleet: an entry box or a store box. */
export class FleetDaemon {
  readonly #parts: boxParts.BoxParts;
  readonly #entry: entryBoxes.EntryBox | undefined;
  readonly #store: storeBoxes.StoreBox | undefined;
  readonly #onEnd: (end: BoxEnd) => void;
  #isEnded = false;

  /** @param onEnd Told once, when the box has ended. */
  constructor(
    context: Omit<boxParts.BoxContext, "onFatal">,
    onEnd: (end: BoxEnd) => void,
  ) {
    this.#onEnd = onEnd;
    this.#parts = boxParts.createBoxParts({
      ...context,
      onFatal: (error) => this.#end({ kind: "failed", error }),
    });
    const { roles, dataFolder } = context.settings;
    this.#entry = roles.entry
      ? new entryBoxes.EntryBox(this.#parts)
      : undefined;
    this.#store = roles.store && dataFolder !== undefined
      ? new storeBoxes.StoreBox(this.#parts, dataFolder)
      : undefined;
  }

  /** Starts all parts; resolves once this box listens. */
  async start(): Promise<void> {
    const { settings, server, link, log, metrics } = this.#parts;
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
    this.#followConfiguration();
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
    const { phase, link, log } = this.#parts;
    if (phase.isLeaving) return;
    phase.isLeaving = true;
    log.write("info", "drain.began", { inFlight: this.#entry?.getInFlight() });
    link.publishSelf();
    await Promise.all([this.#entry?.setDraining(), this.#store?.setDraining()]);
    await (this.#entry === undefined
      ? clocks.sleep(this.#parts.clock, STORE_STOP_MS)
      : this.#awaitQuiet(this.#entry));
    log.write("info", "drain.ended", { inFlight: this.#entry?.getInFlight() });
    await this.#stopParts();
    this.#end({ kind: "stopped" });
  }

  /** Waits until no caller comes any more, or the time is over. */
  async #awaitQuiet(entry: entryBoxes.EntryBox): Promise<void> {
    const { clock, settings: { bounds } } = this.#parts;
    const startMs = clock.getMonotonicMs();
    const endMs = startMs + bounds.stopMs - STOP_MARGIN_MS;
    let busyAtMs = startMs + bounds.addressesKeepMs * STALE_ANSWERS - QUIET_MS;
    while (clock.getMonotonicMs() < endMs) {
      const nowMs = clock.getMonotonicMs();
      if (entry.getInFlight() > 0) busyAtMs = Math.max(busyAtMs, nowMs);
      if (nowMs - busyAtMs > QUIET_MS) return;
      await clocks.sleep(clock, QUIET_CHECK_MS);
    }
  }

  /** Takes callers once a configuration is in force. */
  #followConfiguration(): void {
    const { configuration, phase, link, clock, log, lines, metrics } =
      this.#parts;
    if (this.#isEnded) return;
    metrics.setDroppedLogLines(lines.getDroppedCount());
    this.#entry?.followLimits();
    if (!phase.isReady && configuration.getVersion() > 0) {
      phase.isReady = true;
      log.write("info", "box.ready", { version: configuration.getVersion() });
      link.publishSelf();
    }
    this.#followLeadership();
    clock.startTimer(READY_CHECK_MS, () => this.#followConfiguration());
  }

  /** Tells the fleet when this box begins to lead its group. */
  #followLeadership(): void {
    const { phase, link } = this.#parts;
    const term = this.#store?.getLeadTerm() ?? this.#entry?.getLeadTerm() ?? 0;
    if (term <= phase.ledTerm) return;
    phase.ledTerm = term;
    link.publishSelf();
  }

  /** Stops at once, cutting what is under way. */
  async stop(): Promise<void> {
    await this.#stopParts();
    this.#end({ kind: "stopped" });
  }

  async #stopParts(): Promise<void> {
    const { link, server, peers, metrics } = this.#parts;
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
    const { log } = this.#parts;
    if (end.kind === "failed") {
      const error = end.error as Error;
      log.write("error", "box.failed", {
        message: error.stack ?? String(error),
      });
    } else log.write("info", "box.stopped");
    this.#onEnd(end);
  }
}
