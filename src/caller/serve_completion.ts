import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as z from "zod";
import type * as engines from "../engine/mod.ts";
import * as generation from "../generation/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as models from "../model_version/mod.ts";
import * as results from "../results/mod.ts";
import * as forward from "./_forward.ts";
import type * as callerContexts from "./caller_context.ts";

const DEFAULT_MAX_TOKENS = 256;
/** Callers wait at a till; rollouts do not. */
const CALLER_PRIORITY = 8;

const commonFields = {
  model: z.string().min(1),
  max_tokens: z.number().int().positive().default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
};

const textSchema = z.object({ ...commonFields, prompt: z.string() });

const chatSchema = z.object({
  ...commonFields,
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
});

/** The shape of request and answer. */
export type CompletionFormat = "text" | "chat";

interface Completion {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStream: boolean;
}

function parseCompletion(
  body: Buffer,
  format: CompletionFormat,
): results.Result<Completion> {
  const object = httpServer.parseObject(body);
  if (object.kind === "failure") return object;
  const parsed = format === "chat"
    ? chatSchema.safeParse(object.value)
    : textSchema.safeParse(object.value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return results.createFailure(
      "badParameters",
      `Cannot read the completion: ${issue?.path.join(".")}: ${issue?.message}`,
    );
  }
  const { data } = parsed;
  const prompt = "prompt" in data
    ? data.prompt
    : data.messages.map((message) => `${message.role}: ${message.content}`)
      .join("\n");
  return results.createOk({
    model: data.model,
    prompt,
    maxTokens: data.max_tokens,
    isStream: data.stream,
  });
}

/**
 * Serves a completion in the OpenAI style, streamed as server-sent events if
 * asked so. A stream that can't be finished is cut without its end mark.
 *
 * @param context The box.
 * @param call The call.
 * @param format Text or chat.
 */
export async function serveCompletion(
  context: callerContexts.CallerContext,
  call: callerContexts.AdmittedCall,
  format: CompletionFormat,
): Promise<void> {
  const parsed = parseCompletion(call.body, format);
  if (parsed.kind === "failure") {
    return httpServer.respondFailure(call.response, parsed.failure);
  }
  const completion = parsed.value;
  const writer = new CompletionWriter(call.response, format, completion);
  const end = await generation.generateTokens({
    service: models.getServiceName(completion.model),
    model: completion.model,
    prompt: completion.prompt,
    maxTokens: completion.maxTokens,
    priority: CALLER_PRIORITY,
    use: "caller",
    minVersion: 0,
  }, {
    clock: context.clock,
    table: context.table,
    timeoutMs: call.deadlineMs - context.clock.getMonotonicMs(),
    connectTimeoutMs: context.settings.limits.connectTimeoutMs,
    cancellation: forward.cancelOnDisconnect(call.response),
    onToken: (token) => writer.writeToken(token),
  });
  writer.end(end);
}

/** Writes one completion as it is generated. */
class CompletionWriter {
  readonly #response: http.ServerResponse;
  readonly #format: CompletionFormat;
  readonly #completion: Completion;
  readonly #id = crypto.randomUUID();
  #bufferedTokens: engines.GeneratedToken[] = [];

  constructor(
    response: http.ServerResponse,
    format: CompletionFormat,
    completion: Completion,
  ) {
    this.#response = response;
    this.#format = format;
    this.#completion = completion;
  }

  writeToken(token: engines.GeneratedToken): void {
    if (!this.#completion.isStream) {
      this.#bufferedTokens.push(token);
      return;
    }
    this.#writeHead();
    this.#writeEvent(this.#createBody([token], null));
  }

  end(end: results.Result<generation.GenerationResult>): void {
    if (end.kind === "failure") {
      return httpServer.respondFailure(this.#response, end.failure);
    }
    if (!this.#completion.isStream) {
      const body = this.#createBody(this.#bufferedTokens, end.value.reason);
      return httpServer.respondJson(this.#response, 200, body);
    }
    this.#writeHead();
    this.#writeEvent(this.#createBody([], end.value.reason));
    this.#response.end("data: [DONE]\n\n");
  }

  #writeHead(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
    });
  }

  #writeEvent(body: unknown): void {
    if (this.#response.destroyed) return;
    this.#response.write(`data: ${JSON.stringify(body)}\n\n`);
  }

  #createBody(
    tokens: readonly engines.GeneratedToken[],
    reason: string | null,
  ): object {
    const text = tokens.map((token) => token.text).join("");
    const choice = this.#createChoice(text);
    return {
      id: this.#id,
      object: this.#format === "chat" ? "chat.completion" : "text_completion",
      model: this.#completion.model,
      weight_versions: [...new Set(tokens.map((token) => token.weightVersion))],
      choices: [{
        index: 0,
        ...choice,
        token_ids: tokens.map((token) => token.tokenId),
        finish_reason: reason,
      }],
    };
  }

  #createChoice(text: string): object {
    if (this.#format === "text") return { text };
    const message = { role: "assistant", content: text };
    return this.#completion.isStream ? { delta: message } : { message };
  }
}
