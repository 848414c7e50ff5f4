import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicated from "../replicated_state/mod.ts";
import * as results from "../results/mod.ts";
import * as rpc from "../rpc/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as controlViews from "./control_view.ts";
import * as protocols from "./protocol.ts";

const RETRY_DELAY_MS = 50;
const SYNC_REPLY_MARGIN_MS = 300;
/** Longest wait for one replica, which may be frozen, in ms. */
const ATTEMPT_TIMEOUT_MS = 1_000;
const MAX_SYNC_TIMEOUT_MS = 1_500;
/** Share of a lease that a box uses; the rest covers clock rates. */
const USABLE_LEASE_FRACTION = 0.9;

/** What a control client needs. */
export interface ControlClientOptions {
  readonly settings: settings.Settings;
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
}

/** Keeps a box current and under lease, and carries its commands to the leader. */
export class ControlClient {
  readonly #options: ControlClientOptions;
  readonly #replicas: ReadonlyMap<string, rpc.RpcClient>;
  readonly #viewChanged = new csp.Signal();
  #view = controlViews.EMPTY_VIEW;
  #leaseUntilMs = 0;
  /** When the sync was sent that gave the lease, in monotonic ms. */
  #leaseRequestedAtMs = Number.NEGATIVE_INFINITY;
  readonly #suspensions: clocks.SuspensionDetector;
  #leader: string | undefined;
  #failedAttempts = 0;
  #isDraining = false;
  #isStopped = false;

  constructor(options: ControlClientOptions) {
    this.#options = options;
    this.#suspensions = new clocks.SuspensionDetector(options.clock);
    this.#replicas = new Map(
      options.settings.replicas.map((replica) =>
        [replica.id, new rpc.RpcClient(replica)] as const
      ),
    );
  }

  /** Starts to sync; runs until stopped. */
  start(): void {
    void csp.runProcess(() => this.#runSyncLoop(), (error) => {
      const message = (error as Error).message;
      this.#options.log.write("error", "sync.ended", { message });
    });
  }

  stop(): void {
    this.#isStopped = true;
    for (const replica of this.#replicas.values()) replica.close();
  }

  getView(): controlViews.ControlView {
    return this.#view;
  }

  /**
   * Tells whether the box may admit new work. A lease from before the machine
   * was suspended is none: it may have ended for all others meanwhile.
   */
  hasLease(): boolean {
    if (this.#leaseRequestedAtMs < this.#suspensions.getResumedAtMs()) {
      return false;
    }
    return this.#options.clock.getMonotonicMs() < this.#leaseUntilMs;
  }

  /** Wakes when the view changed, or after the time. */
  waitForChange(timeoutMs: number): Promise<void> {
    return this.#viewChanged.wait(this.#options.clock, timeoutMs);
  }

  /** Tells the leader, from the next sync on, that this box is being stopped. */
  setDraining(): void {
    this.#isDraining = true;
  }

  isDraining(): boolean {
    return this.#isDraining;
  }

  /** This box as others see it. */
  getBoxView(): protocols.BoxView {
    const { box, listen } = this.#options.settings;
    return {
      id: box.id,
      address: box.address,
      failureDomain: box.failureDomain,
      callerPort: listen.callerPort,
      peerPort: listen.peerPort,
      isDraining: this.#isDraining,
    };
  }

  /**
   * Has a command accepted. It may be sent more than once, which every
   * command allows.
   *
   * @param command The command.
   * @param timeoutMs How long to try, in ms.
   * @returns The answer; `changeUnknown` if it may still be accepted.
   */
  async propose(
    command: replicated.Command,
    timeoutMs: number,
  ): Promise<results.Result<replicated.CommandAnswer>> {
    const reply = await this.callLeader<protocols.ProposeReply>(
      protocols.METHODS.propose,
      { command, timeoutMs },
      timeoutMs,
    );
    if (reply.kind === "failure") return reply;
    if (reply.value.kind === "proposed") return reply.value.result;
    return results.createFailure(
      "noLeader",
      "Cannot accept the change: no leader is known",
    );
  }

  /**
   * Calls a method of the leader, trying replicas until the time is over.
   *
   * @param method The method.
   * @param params Its parameters.
   * @param timeoutMs How long to try, in ms.
   * @returns The answer; `noLeader` if none was reached, `changeUnknown` if one
   * may have taken the call.
   */
  async callLeader<T extends { readonly kind: string }>(
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<results.Result<T>> {
    const { clock } = this.#options;
    const endMs = clock.getMonotonicMs() + timeoutMs;
    let mayHaveRun = false;
    for (;;) {
      const leftMs = endMs - clock.getMonotonicMs();
      if (leftMs <= 0) return createCallFailure(method, mayHaveRun);
      const reply = await this.#callReplica<T>(
        method,
        params,
        Math.min(ATTEMPT_TIMEOUT_MS, leftMs),
      );
      if (reply.kind === "ok" && reply.value.kind !== "notLeader") return reply;
      if (reply.kind === "failure") mayHaveRun = true;
      await clocks.sleep(
        clock,
        Math.min(RETRY_DELAY_MS, Math.max(0, endMs - clock.getMonotonicMs())),
      );
    }
  }

  async #callReplica<T extends { readonly kind: string }>(
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<results.Result<T>> {
    const id = this.#pickReplica();
    try {
      const reply = await this.#replicas.get(id)?.call<T | protocols.NotLeader>(
        method,
        params,
        timeoutMs,
      );
      if (reply === undefined) {
        throw new Error(`the replica ${id} is not in the settings`);
      }
      if (reply.kind === "notLeader") {
        this.#recordLeader(id, (reply as protocols.NotLeader).leader);
      } else this.#leader = id;
      return results.createOk(reply as T);
    } catch (error) {
      this.#recordLeader(id, undefined);
      return { kind: "failure", failure: results.toFailure(error) };
    }
  }

  #pickReplica(): string {
    const ids = [...this.#replicas.keys()];
    return this.#leader ?? ids[this.#failedAttempts % ids.length] ?? "";
  }

  #recordLeader(replicaId: string, reported: string | undefined): void {
    this.#failedAttempts += 1;
    this.#leader = reported === replicaId ? undefined : reported;
  }

  *#runSyncLoop(): csp.Step<void> {
    while (!this.#isStopped) {
      const isSynced = yield* csp.waitFor(this.#sync());
      if (!isSynced) {
        yield* csp.waitFor(clocks.sleep(this.#options.clock, RETRY_DELAY_MS));
      }
    }
  }

  async #sync(): Promise<boolean> {
    const { clock, settings: { lease } } = this.#options;
    const sentMs = clock.getMonotonicMs();
    const request: protocols.SyncRequest = {
      box: this.getBoxView(),
      revision: this.#view.revision,
      membershipVersion: this.#view.membership.version,
    };
    const timeoutMs = Math.min(
      MAX_SYNC_TIMEOUT_MS,
      lease.syncWaitMs + SYNC_REPLY_MARGIN_MS,
    );
    const reply = await this.#callReplica<protocols.SyncReply>(
      protocols.METHODS.sync,
      request,
      timeoutMs,
    );
    if (reply.kind === "failure" || reply.value.kind === "notLeader") {
      return false;
    }
    this.#applySyncReply(reply.value, sentMs);
    return true;
  }

  #applySyncReply(
    reply: Extract<protocols.SyncReply, { readonly kind: "synced" }>,
    sentMs: number,
  ): void {
    const previous = this.#view;
    const changed = controlViews.applyChange(previous, reply.config);
    this.#view = reply.membership === undefined
      ? changed
      : { ...changed, membership: reply.membership };
    this.#leaseUntilMs = Math.max(
      this.#leaseUntilMs,
      sentMs + reply.leaseMs * USABLE_LEASE_FRACTION,
    );
    this.#leaseRequestedAtMs = Math.max(this.#leaseRequestedAtMs, sentMs);
    if (this.#view !== previous) this.#viewChanged.notify();
  }
}

function createCallFailure(
  method: string,
  mayHaveRun: boolean,
): results.Result<never> {
  if (mayHaveRun) {
    return results.createFailure(
      "changeUnknown",
      `Cannot confirm ${method}: no answer came in time`,
      {
        outcome: "unknown",
        retryAfterMs: 1_000,
      },
    );
  }
  return results.createFailure(
    "noLeader",
    `Cannot call ${method}: no leader was found in time`,
    {
      retryAfterMs: 1_000,
    },
  );
}
