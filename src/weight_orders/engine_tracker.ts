import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as listReadyEngines from "./list_ready_engines.ts";
import * as orderClients from "./order_client.ts";

/** Between two comparisons of the engines with those kept, in ms. */
const COMPARE_INTERVAL_MS = 100;
/** Longest wait until the other stores keep a change of the engines, in ms. */
const COMMIT_TIMEOUT_MS = 2_000;
/** Silence after which an engine that said no farewell is forgotten, in ms. */
const SILENCE_TIMEOUT_MS = 10_000;

/** What the known engines need. */
export interface EngineTrackerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly dialect: dialects.Dialect;
  readonly servers: registry.ServerRegistry;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    "hasAuthority" | "getTerm" | "propose"
  >;
  readonly machine: submissions.SubmissionMachine;
  readonly refusedReports: Pick<registry.RefusedReports, "note">;
  readonly isService: listReadyEngines.IsConfiguredService;
  /** Told when engines were found that no heartbeat had named yet. */
  readonly onDiscovered: () => void;
}

/**
 * Has the stores keep which engines run. A leader that has not heard them yet,
 * as after a restart of all boxes, asks those kept for their state, instead of
 * waiting up to a heartbeat's time for each.
 */
export class EngineTracker {
  readonly #options: EngineTrackerOptions;
  #probedTerm = 0;
  #isProposing = false;
  /** Kept engines that are not ready, and since when, in monotonic ms. */
  #missingSince: ReadonlyMap<string, number> = new Map();
  #isStopped = false;

  constructor(options: EngineTrackerOptions) {
    this.#options = options;
  }

  start(): void {
    if (this.#isStopped) return;
    this.#compare();
    this.#options.clock.startTimer(COMPARE_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.#isStopped = true;
  }

  #compare(): void {
    const { group } = this.#options;
    if (!group.hasAuthority()) return;
    if (group.getTerm() !== this.#probedTerm) {
      this.#probedTerm = group.getTerm();
      void this.#probeAll();
    }
    void this.#replicateChanges();
  }

  /** Asks the kept engines that were not heard yet. */
  async #probeAll(): Promise<void> {
    const { machine, servers } = this.#options;
    const unregistered = machine.listEngines().filter((engine) =>
      servers.get(engine.id) === undefined
    );
    await Promise.all(unregistered.map((engine) => this.#probe(engine)));
  }

  async #probe(engine: registry.ServerReport): Promise<void> {
    const {
      dialect,
      log,
      servers,
      refusedReports,
      onDiscovered: onDiscovered,
    } = this.#options;
    const reading = await orderClients.readReport(engine, dialect);
    if (this.#isStopped) return;
    if (reading.kind === "refused") refusedReports.note(reading.refusal);
    const found = createReadyReport(engine, reading);
    log.write("info", "engine.asked", {
      server: engine.id,
      born: engine.born,
      outcome: reading.kind === "unread" ? reading.message : reading.kind,
      ready: found !== undefined,
    });
    if (found === undefined) return;
    servers.merge(found);
    onDiscovered();
  }

  /** Has the stores keep engines that came, and forget those that went. */
  async #replicateChanges(): Promise<void> {
    const { machine, group, servers, isService } = this.#options;
    if (this.#isProposing) return;
    const ready = listReadyEngines.listReadyEngines(servers, isService);
    const recorded = new Set(
      machine.listEngines().map(registry.createLifetimeKey),
    );
    const added = ready.filter((engine) => !recorded.has(engine.lifetime));
    const gone = this.#listRemoved(ready);
    if (added.length === 0 && gone.length === 0) return;
    this.#isProposing = true;
    const command: submissions.SubmissionCommand = {
      kind: "keepEngines",
      added,
      gone,
    };
    await group.propose(command, COMMIT_TIMEOUT_MS);
    this.#isProposing = false;
  }

  /** Kept engines that are to be forgotten. */
  #listRemoved(ready: readonly registry.RegisteredServer[]): readonly string[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    const readyIds = new Set(ready.map((engine) => engine.id));
    const missing = this.#options.machine.listEngines()
      .map((engine) => engine.id)
      .filter((id) => !readyIds.has(id));
    this.#missingSince = new Map(
      missing.map((id) => [id, this.#missingSince.get(id) ?? nowMs]),
    );
    return missing.filter((id) => {
      const phase = this.#options.servers.get(id)?.phase;
      if (phase === "draining" || phase === "gone") return true;
      return nowMs - (this.#missingSince.get(id) ?? nowMs) > SILENCE_TIMEOUT_MS;
    });
  }
}

/** What a kept engine is known to be, if it takes work. */
function createReadyReport(
  engine: registry.ServerReport,
  reading: orderClients.EngineReading,
): registry.ServerReport | undefined {
  switch (reading.kind) {
    case "ok": {
      const { isLeaving, models } = reading.value;
      return isLeaving ? undefined : { ...engine, models };
    }
    case "reborn":
      return reading.server;
    case "refused":
    case "unread":
      return undefined;
  }
}
