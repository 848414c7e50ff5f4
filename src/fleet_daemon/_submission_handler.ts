import type * as accounts from "../client_account/mod.ts";
import type * as clocks from "../clock/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as fleet from "../fleet/mod.ts";
import * as heldBytes from "../held_bytes/mod.ts";
import type * as logs from "../log/mod.ts";
import * as replicaGroups from "../replica_group/mod.ts";
import type * as results from "../results/mod.ts";
import * as rpc from "../rpc/mod.ts";
import * as submissions from "../submission/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import type * as boxComponents from "./box_components.ts";
import * as controlHandlers from "./control_handler.ts";
import * as formatRefusals from "./_format_refusal.ts";
import * as replicaReaders from "./_replica_reader.ts";
import * as pollResults from "./_poll_results.ts";
import * as servingTimes from "./_serving_time.ts";
import * as storeTimeouts from "./_store_timeouts.ts";

/** Retry delay sent to callers whose read no leader answered, in ms. */
const READ_RETRY_MS = 150;
/** Retry delay sent to callers whose submission finds no room, in ms. */
const MEMORY_RETRY_MS = 1_000;
/** Forms of a body that are held beside it while it is parsed and sent. */
const FURTHER_FORMS = 2;

/** Dependencies of `SubmissionHandler`. */
export interface SubmissionHandlerOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly dialect: dialects.Dialect;
  readonly stores: replicaGroups.LeaderCaller;
  readonly peers: fleet.Peers;
  readonly failureDomain: string;
  readonly status: Pick<boxComponents.BoxStatus, "servesUntilMs">;
  readonly memoryGuard: Pick<heldBytes.MemoryGuard, "hasRoomFor">;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/** A call about an existing submission. */
export type SubmissionCall = Exclude<
  dialects.CallerCall,
  { readonly kind: "routed" }
>;

/** An unparsed submission with its route and sender. */
export interface IncomingSubmission {
  readonly requestId: string;
  readonly route: trafficConfig.Route;
  readonly sender: accounts.Sender;
  readonly body: Buffer;
  /** Time by which the sender must have an answer, in monotonic ms. */
  readonly deadlineAtMs: number;
}

/** What is known of a submission beside its body. */
type SubmissionTerms = Omit<IncomingSubmission, "body">;

/** Handles caller requests that create, read or end submissions. */
export class SubmissionHandler {
  readonly #options: SubmissionHandlerOptions;
  readonly #reader: replicaReaders.ReplicaReader;
  readonly #largeGate = new heldBytes.SerialGate();

  constructor(options: SubmissionHandlerOptions) {
    this.#options = options;
    this.#reader = new replicaReaders.ReplicaReader(options);
  }

  /**
   * Parses a submission and has the store group accept it for execution. Large ones
   * are handled one after the other, as each is held in several forms meanwhile.
   */
  accept(incoming: IncomingSubmission): Promise<dialects.RawAnswer> {
    const isLarge = incoming.body.length >= submissions.LARGE_SUBMISSION_BYTES;
    if (!isLarge) return this.#parseAndSend(incoming);
    return this.#largeGate.run(() => this.#acceptLarge(incoming));
  }

  #acceptLarge(incoming: IncomingSubmission): Promise<dialects.RawAnswer> {
    const { clock, memoryGuard } = this.#options;
    const neededBytes = incoming.body.length * FURTHER_FORMS;
    const isLate = clock.getMonotonicMs() >= incoming.deadlineAtMs;
    if (!isLate && memoryGuard.hasRoomFor(neededBytes)) {
      return this.#parseAndSend(incoming);
    }
    return Promise.resolve(this.#refuseForMemory());
  }

  #refuseForMemory(): dialects.RawAnswer {
    return formatRefusals.formatRefusal(
      this.#options.dialect,
      "memoryShort",
      "Cannot accept: the box has no room for so large a submission",
      { retryAfterMs: MEMORY_RETRY_MS },
    );
  }

  /** Doesn't wait itself, so that nothing here keeps the body while it is sent. */
  #parseAndSend(
    { body, ...terms }: IncomingSubmission,
  ): Promise<dialects.RawAnswer> {
    const { dialect } = this.#options;
    const draft = dialect.parseSubmission(terms.requestId, body);
    if (draft.kind === "failure") {
      return Promise.resolve(dialect.formatFailure(draft.failure));
    }
    return this.#send(terms, draft.value, body.length);
  }

  async #send(
    incoming: SubmissionTerms,
    draft: submissions.SubmissionDraft,
    bodyBytes: number,
  ): Promise<dialects.RawAnswer> {
    const { dialect, clock, draw, log } = this.#options;
    const { route, requestId, sender } = incoming;
    const request: submissions.AcceptRequest = {
      submission: {
        ...draft,
        sender,
        acceptedAtMs: clock.getWallMs(),
        terms: {
          host: route.host,
          service: trafficConfig.pickService(route, draw()),
          attempts: route.attempts,
          keepMs: route.keepMs,
          targetCompletionMs: route.targetCompletionMs,
          isSingleVersion: route.isSingleVersion,
          priority: route.priority,
        },
      },
    };
    if (bodyBytes >= submissions.LARGE_SUBMISSION_BYTES) {
      rpc.markLarge(request);
      await heldBytes.collectAfterMessage(bodyBytes);
    }
    const accepted = await this.#callStoreLeader<null>(
      submissions.METHODS.accept,
      request,
      {
        ...storeTimeouts.limitTimeouts(
          incoming.deadlineAtMs - clock.getMonotonicMs(),
        ),
        probeMethod: replicaGroups.getReadIndexMethod(
          storeTimeouts.STORES_GROUP,
        ),
      },
    );
    log.write("info", "submission.sent", {
      submission: requestId,
      account: sender.kind === "account" ? sender.name : undefined,
      items: draft.items.length,
      outcome: accepted.kind === "ok" ? "accepted" : accepted.failure.code,
    });
    if (accepted.kind === "ok") return dialect.formatAccepted();
    return dialect.formatFailure(toAcceptFailure(accepted.failure));
  }

  /** Answers a call; another sender's submission is answered as unknown. */
  async answer(
    call: SubmissionCall,
    sender: accounts.Sender,
  ): Promise<dialects.RawAnswer> {
    switch (call.kind) {
      case "readResults":
        return await this.#readResults(call, sender);
      case "readItemBody":
        return await this.#readItemBody(call, sender);
      case "endSubmission":
        return await this.#endSubmission(call.submission, sender);
    }
  }

  async #readResults(
    call: Extract<SubmissionCall, { readonly kind: "readResults" }>,
    sender: accounts.Sender,
  ): Promise<dialects.RawAnswer> {
    const { dialect } = this.#options;
    const read = await pollResults.pollResults({
      clock: this.#options.clock,
      waitMs: call.waitMs,
      getDeadlineMs: () => this.#options.status.servesUntilMs,
      readOnce: (waitMs, tryMs) => {
        const { submission: id, after } = call;
        return this.#reader.read(
          { id, sender, after, waitMs },
          storeTimeouts.limitTimeouts(
            servingTimes.getServingTimeMs(this.#options),
            tryMs,
          ),
        );
      },
    });
    if (read.kind === "ok") return dialect.formatResults(read.value);
    return dialect.formatFailure(toReadFailure(read.failure));
  }

  async #readItemBody(
    call: Extract<SubmissionCall, { readonly kind: "readItemBody" }>,
    sender: accounts.Sender,
  ): Promise<dialects.RawAnswer> {
    const { dialect } = this.#options;
    const request: submissions.ReadBodyRequest = {
      id: call.submission,
      sender,
      item: call.item,
    };
    const read = await this.#callStoreLeader<string>(
      submissions.METHODS.readBody,
      request,
    );
    if (read.kind === "failure") {
      return dialect.formatFailure(toReadFailure(read.failure));
    }
    return dialect.formatItemBody(Buffer.from(read.value, "base64"));
  }

  async #endSubmission(
    id: string,
    sender: accounts.Sender,
  ): Promise<dialects.RawAnswer> {
    const { dialect } = this.#options;
    const request: submissions.EndRequest = { id, sender };
    const ended = await this.#callStoreLeader<null>(
      submissions.METHODS.end,
      request,
    );
    if (ended.kind === "ok") return dialect.formatDone();
    return dialect.formatFailure(ended.failure);
  }

  async #callStoreLeader<T>(
    method: string,
    request: object,
    options: replicaGroups.CallOptions = storeTimeouts.limitTimeouts(
      servingTimes.getServingTimeMs(this.#options),
    ),
  ): Promise<results.Result<T>> {
    return await controlHandlers.callStoreLeader<T>(
      this.#options.stores,
      { method, request },
      options,
    );
  }
}

/** Maps `unknownStep` to `requestReused`: another sender has used the id. */
function toAcceptFailure(failure: results.Failure): results.Failure {
  if (failure.code !== "unknownStep") return failure;
  return {
    code: "requestReused",
    message: "Cannot accept: another submission has this id",
    outcome: "notRun",
  };
}

/** Maps `changeUnknown` to a retryable failure, as a read changes nothing. */
function toReadFailure(failure: results.Failure): results.Failure {
  if (failure.code !== "changeUnknown") return failure;
  return {
    code: "noLeader",
    message: failure.message,
    outcome: "notRun",
    retryAfterMs: READ_RETRY_MS,
  };
}
