import * as eventSource from "eventsource-parser";
import * as z from "zod";
import type * as backends from "../backend_server/mod.ts";
import * as httpClient from "../http_client/mod.ts";

const END_MARK = "[DONE]";

const chunkSchema = z.object({
  weight_version: z.number().int(),
  choices: z.array(z.object({
    text: z.string(),
    token_ids: z.array(z.number().int()),
    finish_reason: z.string().nullable(),
  })).length(1),
});

/** What an engine is asked to generate. */
export interface CompletionRequest {
  readonly requestId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** 0 yields to all, 9 yields to none. */
  readonly priority: number;
  /** Tokens that were generated before, to go on from. */
  readonly resumeTokens: readonly number[];
}

/** A token with the weight version that produced it. */
export interface GeneratedToken {
  readonly tokenId: number;
  readonly text: string;
  readonly weightVersion: number;
}

/** How one engine's stream ended. */
export type StreamEnd =
  | { readonly kind: "finished"; readonly reason: string }
  /** Nothing was sent to the engine. */
  | { readonly kind: "notSent"; readonly message: string }
  | { readonly kind: "refused"; readonly status: number }
  | { readonly kind: "broken"; readonly message: string };

/** How a stream is run. */
export interface StreamOptions {
  readonly timeoutMs: number;
  readonly connectTimeoutMs: number;
  readonly signal: AbortSignal;
  readonly onToken: (token: GeneratedToken) => void;
}

/** Follows one completion on one engine. */
class CompletionStream implements httpClient.ExchangeListener {
  readonly #options: StreamOptions;
  readonly #resolve: (end: StreamEnd) => void;
  readonly #parser: eventSource.EventSourceParser;
  #status = 0;
  #reason: string | undefined;
  #isEnded = false;
  #fault: string | undefined;

  constructor(options: StreamOptions, resolve: (end: StreamEnd) => void) {
    this.#options = options;
    this.#resolve = resolve;
    this.#parser = eventSource.createParser({
      onEvent: (event) => this.#readEvent(event.data),
    });
  }

  onHead(head: httpClient.HttpHead): void {
    this.#status = head.status;
  }

  onData(chunk: Buffer): void {
    if (this.#status === 200) this.#parser.feed(chunk.toString("utf8"));
  }

  onEnd(): void {
    if (this.#status !== 200) {
      return this.#resolve({ kind: "refused", status: this.#status });
    }
    if (
      this.#isEnded && this.#reason !== undefined && this.#fault === undefined
    ) {
      return this.#resolve({ kind: "finished", reason: this.#reason });
    }
    this.#resolve({
      kind: "broken",
      message: this.#fault ?? "the stream ended early",
    });
  }

  onFail(message: string, isSent: boolean): void {
    this.#resolve(
      isSent ? { kind: "broken", message } : { kind: "notSent", message },
    );
  }

  #readEvent(data: string): void {
    if (this.#isEnded || this.#fault !== undefined) return;
    if (data === END_MARK) {
      this.#isEnded = true;
      return;
    }
    const chunk = parseChunk(data);
    if (chunk === undefined) {
      this.#fault = "the engine sent a chunk that can't be read";
      return;
    }
    this.#readChunk(chunk);
  }

  #readChunk(chunk: z.infer<typeof chunkSchema>): void {
    const [choice] = chunk.choices;
    if (choice === undefined) return;
    for (const tokenId of choice.token_ids) {
      const token = {
        tokenId,
        text: choice.text,
        weightVersion: chunk.weight_version,
      };
      this.#options.onToken(token);
    }
    if (choice.finish_reason !== null) this.#reason = choice.finish_reason;
  }
}

function parseChunk(data: string): z.infer<typeof chunkSchema> | undefined {
  try {
    const parsed = chunkSchema.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Streams a completion from one engine: `POST /v1/completions` with
 * server-sent events.
 *
 * @param server The engine.
 * @param request What to generate.
 * @param options Bounds, and where tokens go.
 * @returns How the stream ended; tokens were given before.
 */
export function streamCompletion(
  server: backends.BackendServer,
  request: CompletionRequest,
  options: StreamOptions,
): Promise<StreamEnd> {
  const body = JSON.stringify({
    model: request.model,
    prompt: request.prompt,
    max_tokens: request.maxTokens,
    priority: request.priority,
    resume_tokens: request.resumeTokens,
    stream: true,
  });
  return new Promise((resolve) => {
    httpClient.openExchange({
      address: server.address,
      port: server.port,
      method: "POST",
      path: "/v1/completions",
      headers: {
        "content-type": "application/json",
        "x-request-id": request.requestId,
      },
      body,
      timeoutMs: options.timeoutMs,
      connectTimeoutMs: options.connectTimeoutMs,
      signal: options.signal,
    }, new CompletionStream(options, resolve));
  });
}
