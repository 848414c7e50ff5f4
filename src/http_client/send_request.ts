import * as heldBytes from "../held_bytes/mod.ts";
import * as agents from "./_agent.ts";
import type * as httpRequests from "./http_request.ts";
import * as openExchange from "./open_exchange.ts";

const TOO_LARGE = "the answer is too large";
const TOO_MUCH_HELD = "too many bytes of unfinished answers are held";

/** Buffers the response of one request, within the limits on its size. */
class BufferedResponse
  implements openExchange.ExchangeListener, heldBytes.ByteHolder {
  readonly #limit: number;
  readonly #held: heldBytes.HeldBytes;
  readonly #resolve: (outcome: httpRequests.HttpOutcome) => void;
  readonly #exchange: openExchange.Exchange;
  readonly #chunks: Buffer[] = [];
  #head: httpRequests.ResponseHead | undefined;
  #size = 0;

  constructor(
    options: httpRequests.HttpRequest,
    held: heldBytes.HeldBytes,
    resolve: (outcome: httpRequests.HttpOutcome) => void,
  ) {
    this.#limit = options.maxResponseBytes ?? agents.DEFAULT_MAX_RESPONSE_BYTES;
    this.#held = held;
    this.#resolve = resolve;
    this.#exchange = openExchange.openExchange(options, this);
  }

  onHead(head: httpRequests.ResponseHead): void {
    this.#head = head;
    const announced = Number(head.headers["content-length"] ?? 0);
    if (announced > this.#limit) this.#refuse(TOO_LARGE);
  }

  onData(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    if (this.#size > this.#limit) return this.#refuse(TOO_LARGE);
    this.#held.add(this, chunk.length);
  }

  onEnd(): void {
    this.#held.releaseToCollector(this);
    if (this.#head === undefined) return;
    const body = Buffer.concat(this.#chunks);
    this.#chunks.length = 0;
    this.#resolve({ kind: "answered", head: this.#head, body });
  }

  onFail({ message, isSent, isClosed }: openExchange.ExchangeFailure): void {
    this.#held.releaseToCollector(this);
    if (!isSent) return this.#resolve({ kind: "notSent", message });
    const head = this.#head === undefined ? {} : { head: this.#head };
    this.#resolve({ kind: "broken", message, isClosed, ...head });
  }

  abort(): void {
    this.#refuse(TOO_MUCH_HELD);
  }

  /** Closes the connection, so that no more of the response arrives. */
  #refuse(message: string): void {
    this.#exchange.cancel();
    this.#held.releaseToCollector(this);
    this.#chunks.length = 0;
    this.#resolve({ kind: "broken", message, isClosed: false });
  }
}

/**
 * Sends a request and buffers the complete response.
 *
 * @param options The request.
 * @param held The bytes of unfinished responses that share a limit.
 * @returns The outcome; the promise is never rejected.
 */
export function sendRequest(
  options: httpRequests.HttpRequest,
  held: heldBytes.HeldBytes = heldBytes.SHARED_HELD_BYTES,
): Promise<httpRequests.HttpOutcome> {
  return new Promise((resolve) => {
    new BufferedResponse(options, held, resolve);
  });
}
