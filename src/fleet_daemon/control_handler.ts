import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import * as results from "../results/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import * as formatRefusals from "./_format_refusal.ts";

/** Timeouts in ms; operators' clients time out after one second. */
const CALL_TIMEOUTS = { totalMs: 900, tryMs: 450 };

/** Dependencies of `ControlHandler`. */
export interface ControlHandlerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly dialect: dialects.Dialect;
  readonly directory: fleet.BoxDirectory;
  readonly servers: registry.ServerRegistry;
  readonly refusedReports: Pick<registry.RefusalRecorder, "record">;
  /**
   * Whether the configuration in force names a service; true for every name
   * while there is no configuration.
   */
  readonly isService: (name: string) => boolean;
  readonly link: fleet.FleetGossip;
  readonly core: replicaGroups.LeaderCaller;
  readonly stores: replicaGroups.LeaderCaller;
}

/** Handles calls of servers, operators and trainers at the control address. */
export class ControlHandler {
  readonly #options: ControlHandlerOptions;

  constructor(options: ControlHandlerOptions) {
    this.#options = options;
  }

  async answer(
    request: dialects.RawRequest,
    body: Buffer,
  ): Promise<dialects.RawAnswer> {
    const { dialect } = this.#options;
    const call = dialect.parseControlCall(request, body);
    switch (call.kind) {
      case "heartbeat":
        return this.#handleHeartbeat(call.report);
      case "leave":
        return this.#handleLeave(call.lifetime);
      case "badReport":
        this.#options.refusedReports.record(call.refusal);
        return dialect.formatFailure(call.failure);
      case "putConfiguration":
        return await this.#putConfiguration(call.stored);
      case "readConfiguration":
        return await this.#readConfiguration();
      case "nameVersion":
        return await this.#nameVersion(call.model, call.version);
      case "retire":
        return await this.#retire(call.box);
      case "readRetire":
        return await this.#readRetire(call.box);
      case "malformed":
        this.#options.log.write("warn", "control.malformed", {
          method: request.method,
          target: request.target,
          message: call.failure.message,
        });
        return dialect.formatFailure(call.failure);
      case "unknown":
        return this.#refuse("unknownRoute", "Cannot answer: no such call");
    }
  }

  #refuse(
    code: results.ResultCodeName,
    message: string,
    options: results.FailureOptions = {},
  ): dialects.RawAnswer {
    return formatRefusals.formatRefusal(
      this.#options.dialect,
      code,
      message,
      options,
    );
  }

  /** Publishes the report to the other boxes before the server is answered. */
  #handleHeartbeat(report: registry.ServerReport): dialects.RawAnswer {
    const { servers, link, log, dialect, clock, isService } = this.#options;
    const refusal = registry.validateReport(report, {
      known: servers.get(report.id),
      wallMs: clock.getWallMs(),
      isService,
    });
    if (refusal !== undefined) return this.#refuseReport(refusal);
    const outcome = servers.merge(report);
    const merged = servers.get(report.id) ?? report;
    switch (outcome) {
      case "changed":
        log.write("info", "server.reported", {
          server: report.id,
          born: report.born,
          service: report.service,
          phase: merged.phase,
          sequence: report.sequence,
        });
        link.publishServer(merged);
        break;
      case "refreshed":
        link.refreshServer(merged);
        break;
      case "old":
        break;
    }
    return dialect.formatDone();
  }

  /** Refuses a report; the server then sends it to another box. */
  #refuseReport(refusal: registry.ReportRefusal): dialects.RawAnswer {
    this.#options.refusedReports.record(refusal);
    return this.#refuse(
      "malformedBody",
      `Cannot take the report: ${refusal.field} is at fault`,
    );
  }

  #handleLeave(lifetime: registry.Lifetime): dialects.RawAnswer {
    const { servers, link, log, dialect, clock } = this.#options;
    const { id, born } = lifetime;
    const known = servers.get(id);
    if (!registry.isPlausibleStart(lifetime, known, clock.getWallMs())) {
      return this.#refuseReport({ server: id, reason: "start", field: "born" });
    }
    const server = servers.markGone(lifetime);
    log.write("info", "server.left", {
      server: id,
      born,
      service: server.service,
      phase: server.phase,
    });
    link.publishServer(server);
    return dialect.formatDone();
  }

  async #putConfiguration(
    stored: trafficConfig.StoredConfiguration,
  ): Promise<dialects.RawAnswer> {
    const { core, dialect, log, clock } = this.#options;
    const request: trafficConfig.PutRequest = {
      stored: { ...stored, acceptedAtMs: clock.getWallMs() },
    };
    const reply = await core.call<trafficConfig.PutReply>(
      trafficConfig.METHODS.put,
      request,
      CALL_TIMEOUTS,
    );
    log.write("info", "configuration.put", {
      version: stored.version,
      outcome: reply.kind === "ok" ? reply.value.kind : reply.failure.code,
    });
    if (reply.kind === "failure") return dialect.formatFailure(reply.failure);
    return dialect.formatDone();
  }

  async #readConfiguration(): Promise<dialects.RawAnswer> {
    const { core, dialect } = this.#options;
    const reply = await core.call<trafficConfig.ReadReply>(
      trafficConfig.METHODS.read,
      {},
      CALL_TIMEOUTS,
    );
    if (reply.kind === "failure") return dialect.formatFailure(reply.failure);
    const { stored } = reply.value;
    if (stored !== undefined) return dialect.formatConfiguration(stored.text);
    return this.#refuse("noLease", "Cannot read: no configuration yet");
  }

  async #nameVersion(
    model: string,
    version: number,
  ): Promise<dialects.RawAnswer> {
    const request: submissions.NameVersionRequest = { model, version };
    const reply = await this.#callStoreLeader<null>(
      submissions.METHODS.nameVersion,
      request,
    );
    this.#options.log.write("info", "version.put", {
      model,
      version,
      outcome: reply.kind === "ok" ? "done" : reply.failure.code,
    });
    return reply.kind === "ok"
      ? this.#options.dialect.formatDone()
      : this.#options.dialect.formatFailure(reply.failure);
  }

  async #retire(name: string): Promise<dialects.RawAnswer> {
    const box = this.#options.directory.findByName(name);
    if (box === undefined || !box.isStore) return this.#refuseUnknownBox(name);
    const request: submissions.RetireRequest = { box: box.id };
    const reply = await this.#callStoreLeader<submissions.RetireState>(
      submissions.METHODS.retire,
      request,
    );
    if (reply.kind === "failure") {
      return this.#options.dialect.formatFailure(reply.failure);
    }
    if (reply.value !== "tooFewLeft") return this.#options.dialect.formatDone();
    return this.#refuse(
      "wrongRevision",
      `Cannot empty ${name}: too few stores would be left`,
    );
  }

  async #readRetire(name: string): Promise<dialects.RawAnswer> {
    const box = this.#options.directory.findByName(name);
    if (box === undefined || !box.isStore) return this.#refuseUnknownBox(name);
    const request: submissions.RetireRequest = { box: box.id };
    const reply = await this.#callStoreLeader<submissions.RetireState>(
      submissions.METHODS.readRetire,
      request,
    );
    if (reply.kind === "failure") {
      return this.#options.dialect.formatFailure(reply.failure);
    }
    return this.#options.dialect.formatRetire(reply.value === "completed");
  }

  #refuseUnknownBox(name: string): dialects.RawAnswer {
    return this.#refuse("unknownRoute", `Cannot find the store box ${name}`);
  }

  async #callStoreLeader<T>(
    method: string,
    request: object,
  ): Promise<results.Result<T>> {
    return await callStoreLeader<T>(
      this.#options.stores,
      { method, request },
      CALL_TIMEOUTS,
    );
  }
}

/** An RPC to the leader of the stores. */
export interface StoreCall {
  readonly method: string;
  readonly request: object;
}

/**
 * Calls the leader of the stores.
 *
 * @param stores Client of the store group.
 * @param call Method and request.
 * @param options Timeouts of the whole call and of one attempt.
 * @returns The reply's value; `unknownStep` if the target does not exist;
 * `changeUnknown` or `noLeader` if no reply arrived in time.
 */
export async function callStoreLeader<T>(
  stores: replicaGroups.LeaderCaller,
  call: StoreCall,
  options: replicaGroups.CallOptions,
): Promise<results.Result<T>> {
  const reply = await stores.call<submissions.LeaderReply<T>>(
    call.method,
    call.request,
    options,
  );
  if (reply.kind === "failure") return reply;
  switch (reply.value.kind) {
    case "done":
      return results.createOk(reply.value.value);
    case "unknown":
      return results.createFailure(
        "unknownStep",
        `Cannot carry out ${call.method}: there is no such thing`,
      );
  }
}
