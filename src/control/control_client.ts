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
/** Time added to the wait of the leader before a sync times out, in ms. */
const SYNC_REPLY_MARGIN_MS = 300;
/** Timeout of a call to one replica, which may be unresponsive, in ms. */
const ATTEMPT_TIMEOUT_MS = 1_000;
const MAX_SYNC_TIMEOUT_MS = 1_500;
/** Fraction of a lease that a box uses; the rest covers clock drift. */
const USABLE_LEASE_FRACTION = 0.9;

/** Options of a control client. */
export interface ControlClientOptions {
  readonly settings: settings.Settings;
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
}

/** Syncs a box with the leader, renews its lease and forwards its commands. */
export class ControlClient {
  readonly #options: ControlClientOptions;
  readonly #replicas: ReadonlyMap<string, rpc.RpcClient>;
  readonly #viewChanged = new csp.Signal();
  #view = controlViews.EMPTY_VIEW;
  #leaseUntilMs = 0;
  /** Monotonic time at which the last granted lease was requested, in ms. */
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

  /** Starts to sync with the leader until `stop` is called. */
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
   * Tells whether the box holds a lease and may admit new work. A lease that was
   * requested before a suspension of the box is void: the monotonic clock stood
   * still meanwhile, and the lease may have expired for the leader.
   */
  hasLease(): boolean {
    if (this.#leaseRequestedAtMs < this.#suspensions.getResumedAtMs()) {
      return false;
    }
    return this.#options.clock.getMonotonicMs() < this.#leaseUntilMs;
  }

  /** Waits until the view changes, or for the timeout in ms. */
  waitForChange(timeoutMs: number): Promise<void> {
    return this.#viewChanged.wait(this.#options.clock, timeoutMs);
  }

  /** Marks this box as draining; the leader learns of it with the next sync. */
  setDraining(): void {
    this.#isDraining = true;
  }

  isDraining(): boolean {
    return this.#isDraining;
  }

  /** Describes this box for the membership. */
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
   * Proposes a command to the leader. It may be sent more than once, so commands
   * must be idempotent.
   *
   * @param command The command.
   * @param timeoutMs Timeout including retries, in ms.
   * @returns The answer; `noLeader` if no leader was found, `changeUnknown` if
   * the command may still be accepted.
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
   * Calls a method of the leader, trying replicas in turn until the timeout.
   *
   * @param method Name of the method.
   * @param params Parameters of the call.
   * @param timeoutMs Timeout including retries, in ms.
   * @returns The answer; `noLeader` if no leader was found, `changeUnknown` if a
   * replica may have executed the call.
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
