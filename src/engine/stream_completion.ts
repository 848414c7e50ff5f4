import type * as backendServers from "../backend_server/mod.ts";
import type * as csp from "../csp/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as eventReaders from "./event_reader.ts";

/** Request for a completion by one engine. */
export interface CompletionRequest {
  readonly requestId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Scheduling priority, from 0 (lowest) to 9 (highest). */
  readonly priority: number;
  /** Ids of the tokens generated so far, from which the engine resumes. */
  readonly resumeTokens: readonly number[];
}

/** A generated token and the weight version that produced it. */
export interface GeneratedToken {
  readonly tokenId: number;
  readonly text: string;
  readonly weightVersion: number;
}

/** Outcome of one engine's stream. */
export type StreamOutcome =
  | { readonly kind: "finished"; readonly reason: string }
  /** Nothing was sent to the engine. */
  | { readonly kind: "notSent"; readonly message: string }
  /** The engine answered with a status other than 200. */
  | { readonly kind: "refused"; readonly status: number }
  /** The connection failed, or the stream was incomplete or invalid. */
  | { readonly kind: "broken"; readonly message: string };

/** Limits of a stream and the receiver of its tokens. */
export interface StreamOptions {
  readonly timeoutMs: number;
  readonly connectTimeoutMs: number;
  readonly cancellation: csp.Cancellation;
  readonly onToken: (token: GeneratedToken) => void;
}

/** Most bytes of a stream. */
const MAX_STREAM_BYTES = 16 * 1024 * 1024;

/** Handles the HTTP exchange of one completion on one engine. */
class CompletionStream implements httpClient.ExchangeListener {
  readonly #options: StreamOptions;
  readonly #resolve: (outcome: StreamOutcome) => void;
  readonly #reader: eventReaders.EventReader;
  readonly #limit = new httpClient.StreamLimit(MAX_STREAM_BYTES);
  #exchange: httpClient.Exchange | undefined;
  #status = 0;
  #finishReason: string | undefined;
  #hasUnknownVersion = false;

  constructor(
    options: StreamOptions,
    resolve: (outcome: StreamOutcome) => void,
  ) {
    this.#options = options;
    this.#resolve = resolve;
    this.#reader = new eventReaders.EventReader((event) =>
      this.#handleEvent(event)
    );
  }

  start(request: httpClient.HttpRequest): void {
    this.#exchange = httpClient.openExchange(request, this);
  }

  onHead(head: httpClient.ResponseHead): void {
    this.#status = head.status;
    if (head.status !== 200) this.#limit.markAsError();
  }

  onData(chunk: Buffer): void {
    this.#limit.addBytes(chunk.length);
    if (this.#status === 200) this.#reader.read(chunk);
    if (!this.#limit.isExceeded()) return;
    this.#exchange?.cancel();
    const message = "the engine sent more bytes than an answer can have";
    this.#resolve({ kind: "broken", message });
  }

  onEnd(): void {
    if (this.#status !== 200) {
      return this.#resolve({ kind: "refused", status: this.#status });
    }
    if (
      this.#reader.isEnded() && this.#finishReason !== undefined &&
      !this.#hasUnknownVersion
    ) {
      return this.#resolve({ kind: "finished", reason: this.#finishReason });
    }
    const message = this.#reader.getError() ?? "the stream ended early";
    this.#resolve({ kind: "broken", message });
  }

  onFail({ message, isSent }: httpClient.ExchangeFailure): void {
    const kind = isSent ? "broken" : "notSent";
    this.#resolve({ kind, message });
  }

  /**
   * Passes an event's tokens on. From the first event without a weight version
   * on, tokens are dropped and the stream counts as broken.
   */
  #handleEvent(event: eventReaders.CompletionEvent): void {
    const { tokenIds, text, weightVersion, finishReason } = event;
    this.#limit.recordEvent();
    if (finishReason !== null) this.#finishReason = finishReason;
    if (weightVersion === undefined || this.#hasUnknownVersion) {
      this.#hasUnknownVersion = true;
      return;
    }
    for (const tokenId of tokenIds) {
      this.#options.onToken({ tokenId, text, weightVersion });
    }
  }
}

/**
 * Streams a completion from one engine: `POST /v1/completions` with
 * server-sent events.
 *
 * @param server The engine.
 * @param request The prompt and its parameters.
 * @param options Limits, and the receiver of the tokens.
 * @returns The outcome, after the last call of `onToken`.
 */
export function streamCompletion(
  server: backendServers.BackendServer,
  request: CompletionRequest,
  options: StreamOptions,
): Promise<StreamOutcome> {
  const body = JSON.stringify({
    model: request.model,
    prompt: request.prompt,
    max_tokens: request.maxTokens,
    priority: request.priority,
    resume_tokens: request.resumeTokens,
    stream: true,
  });
  return new Promise((resolve) => {
    new CompletionStream(options, resolve).start({
      address: server.address,
      port: server.port,
      method: "POST",
      path: "/v1/completions",
      headers: {
        "content-type": "application/json",
        "x-request-id": request.requestId,
      },
      body,
      requestId: request.requestId,
      timeoutMs: options.timeoutMs,
      connectTimeoutMs: options.connectTimeoutMs,
      cancellation: options.cancellation,
    });
  });
}
