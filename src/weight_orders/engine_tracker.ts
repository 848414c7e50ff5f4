import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as submissions from "../submission/mod.ts";
import * as listReadyEngines from "./list_ready_engines.ts";
import * as orderClients from "./order_client.ts";

/** Interval between comparisons with the recorded engines, in ms. */
const COMPARE_INTERVAL_MS = 100;
/** Timeout of a change to the replicated list of engines, in ms. */
const COMMIT_TIMEOUT_MS = 2_000;
/** Time after which an engine that stopped without notice is removed, in ms. */
const SILENCE_TIMEOUT_MS = 10_000;

/** Options of an engine tracker. */
export interface EngineTrackerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly dialect: dialects.Dialect;
  readonly servers: registry.ServerRegistry;
  readonly group: Pick<
    replicaGroups.ReplicaGroup,
    "hasAuthority" | "getTerm" | "propose"
  >;
  readonly machine: submissions.SubmissionStateMachine;
  readonly refusedReports: Pick<registry.RefusalRecorder, "record">;
  readonly isService: listReadyEngines.IsConfiguredService;
  /** Called when a probe has found an engine before its first heartbeat. */
  readonly onDiscovered: () => void;
}

/**
 * Records the running engines in the replicated log. A new leader probes the
 * recorded engines that are not in its registry yet, e.g. after a restart of
 * all boxes, and so need not wait for their next heartbeats.
 */
export class EngineTracker {
  readonly #options: EngineTrackerOptions;
  #probedTerm = 0;
  #isProposing = false;
  /** Since when each recorded engine has not been ready, in monotonic ms. */
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

  /** Probes the recorded engines that are not in the registry. */
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
      onDiscovered,
    } = this.#options;
    const reading = await orderClients.readReport(engine, dialect);
    if (this.#isStopped) return;
    if (reading.kind === "refused") refusedReports.record(reading.refusal);
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

  /** Proposes to record new engines and to remove those that are gone. */
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

  /** Lists the recorded engines that are draining, gone or silent too long. */
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

/** Creates the report of a probed engine; undefined if it accepts no work. */
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
