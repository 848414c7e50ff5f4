import * as crypto from "node:crypto";
import type * as backendServers from "../backend_server/mod.ts";
import * as clocks from "../clock/mod.ts";
import type * as csp from "../csp/mod.ts";
import * as engines from "../engine/mod.ts";
import * as results from "../results/mod.ts";
import type * as routing from "../routing/mod.ts";

const RETRY_DELAY_MS = 60;

/** What is to be generated. */
export interface GenerationRequest {
  readonly service: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly use: backendServers.ServerUse;
  /** Oldest weight version that may serve. */
  readonly minVersion: number;
}

/** How a generation is run. */
export interface GenerationOptions {
  readonly clock: clocks.Clock;
  readonly table: routing.ServerTable;
  /** Time for the whole generation, in ms. */
  readonly timeoutMs: number;
  readonly connectTimeoutMs: number;
  readonly cancellation: csp.Cancellation;
  /** Receives each token once, in order. */
  readonly onToken: (token: engines.GeneratedToken) => void;
}

/** Why a whole generation ended. */
export interface GenerationResult {
  /** The engine's reason, such as `stop`. */
  readonly reason: string;
  /** Engines that took part. */
  readonly engineCount: number;
}

/** One generation over as many engines as it takes. */
class GenerationRun {
  readonly #request: GenerationRequest;
  readonly #options: GenerationOptions;
  readonly #deadlineMs: number;
  readonly #tokens: number[] = [];
  #excluded: ReadonlySet<string> = new Set();
  #engineCount = 0;

  constructor(request: GenerationRequest, options: GenerationOptions) {
    this.#request = request;
    this.#options = options;
    this.#deadlineMs = options.clock.getMonotonicMs() + options.timeoutMs;
  }

  async run(): Promise<results.Result<GenerationResult>> {
    for (;;) {
      const result = await this.#tryEngine();
      if (result !== undefined) return result;
      if (this.#options.cancellation.isCancelled()) {
        return this.#createFailure("deadlineExceeded", "it was cancelled");
      }
      if (this.#getRemainingMs() <= 0) {
        return this.#createFailure("deadlineExceeded", "the deadline passed");
      }
    }
  }

  async #tryEngine(): Promise<results.Result<GenerationResult> | undefined> {
    const { service, model, minVersion, use } = this.#request;
    const requirements = {
      service,
      model,
      minVersion,
      use,
      excluded: this.#excluded,
    };
    const server = this.#options.table.chooseForPrompt(
      requirements,
      this.#request.prompt,
    );
    if (server === undefined) {
      this.#excluded = new Set();
      await clocks.sleep(this.#options.clock, RETRY_DELAY_MS);
      return undefined;
    }
    this.#options.table.addRequest(server.id);
    this.#engineCount += 1;
    const outcome = await engines.streamCompletion(
      server,
      this.#createRequest(),
      {
        timeoutMs: this.#getRemainingMs(),
        connectTimeoutMs: this.#options.connectTimeoutMs,
        cancellation: this.#options.cancellation,
        onToken: (token) => this.#handleToken(token),
      },
    );
    const hasFailed = outcome.kind !== "finished" &&
      !this.#options.cancellation.isCancelled();
    this.#options.table.removeRequest(server.id, hasFailed);
    if (outcome.kind === "finished") {
      return results.createOk({
        reason: outcome.reason,
        engineCount: this.#engineCount,
      });
    }
    this.#excluded = new Set([...this.#excluded, server.id]);
    return undefined;
  }

  #createRequest(): engines.CompletionRequest {
    const { model, prompt, maxTokens, priority } = this.#request;
    const resumeTokens = [...this.#tokens];
    return {
      requestId: crypto.randomUUID(),
      model,
      prompt,
      maxTokens,
      priority,
      resumeTokens,
    };
  }

  #handleToken(token: engines.GeneratedToken): void {
    this.#tokens.push(token.tokenId);
    this.#options.onToken(token);
  }

  #getRemainingMs(): number {
    return this.#deadlineMs - this.#options.clock.getMonotonicMs();
  }

  #createFailure(
    code: results.ResultCodeName,
    reason: string,
  ): results.Result<GenerationResult> {
    const outcome = this.#engineCount === 0 ? "notRun" : "unknown";
    return results.createFailure(code, `Cannot generate: ${reason}`, {
      outcome,
      retryAfterMs: 1_000,
    });
  }
}

/**
 * Generates tokens. When an engine fails, another goes on from the tokens
 * that came so far, so that none is lost or doubled.
 *
 * @param request What is to be generated.
 * @param options Bounds, and where tokens go.
 * @returns The end, or `deadlineExceeded`.
 */
export function generateTokens(
  request: GenerationRequest,
  options: GenerationOptions,
): Promise<results.Result<GenerationResult>> {
  return new GenerationRun(request, options).run();
}
