import type * as fleet from "../fleet/mod.ts";
import * as protocol from "./protocol.ts";

/** Timeout of a request to start runs, in ms. */
const START_TIMEOUT_MS = 400;

/** Outcome of a request to start a run. */
export type StartOutcome =
  | { readonly kind: "started" }
  /** It does not run. */
  | { readonly kind: "refused"; readonly reason: string }
  /** It may run. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Options of a start queue. */
export interface StartQueueOptions {
  /** Id of this box. */
  readonly id: string;
  readonly peers: fleet.Peers;
}

/** Runs to be started at one box. */
interface StartBatch {
  readonly orders: protocol.RunOrder[];
  readonly sent: Promise<BatchOutcome>;
}

/** Outcome of a request with all runs of a batch. */
type BatchOutcome =
  | { readonly kind: "answered"; readonly reply: protocol.StartReply }
  | { readonly kind: "unanswered"; readonly reason: string };

/** Sends what is to be started at a box in one turn of the event loop together. */
export class StartQueue {
  readonly #options: StartQueueOptions;
  readonly #batches = new Map<string, StartBatch>();

  constructor(options: StartQueueOptions) {
    this.#options = options;
  }

  /** Asks a box to start a run. */
  async start(
    worker: string,
    order: protocol.RunOrder,
  ): Promise<StartOutcome> {
    const batch = this.#batches.get(worker) ?? this.#openBatch(worker);
    batch.orders.push(order);
    return findOutcome(order.run, await batch.sent);
  }

  #openBatch(worker: string): StartBatch {
    const orders: protocol.RunOrder[] = [];
    const sent = new Promise<BatchOutcome>((resolve) => {
      setImmediate(() => {
        this.#batches.delete(worker);
        resolve(this.#send(worker, orders));
      });
    });
    const batch = { orders, sent };
    this.#batches.set(worker, batch);
    return batch;
  }

  async #send(
    worker: string,
    runs: readonly protocol.RunOrder[],
  ): Promise<BatchOutcome> {
    const { id, peers } = this.#options;
    const request: protocol.StartRequest = { leader: id, runs };
    try {
      const reply = await peers.get(worker).call<protocol.StartReply>(
        protocol.METHODS.start,
        request,
        START_TIMEOUT_MS,
      );
      return { kind: "answered", reply };
    } catch (error) {
      return { kind: "unanswered", reason: (error as Error).message };
    }
  }
}

function findOutcome(run: string, batch: BatchOutcome): StartOutcome {
  if (batch.kind === "unanswered") {
    return { kind: "unknown", reason: batch.reason };
  }
  const refused = batch.reply.refused.find((other) => other.run === run);
  if (refused === undefined) return { kind: "started" };
  return { kind: "refused", reason: refused.reason };
}
