import * as crypto from "node:crypto";
import type * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as control from "../control/mod.ts";
import * as generation from "../generation/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as models from "../model_version/mod.ts";
import type * as replicated from "../replicated_state/mod.ts";
import * as results from "../results/mod.ts";
import * as steps from "../rollout_step/mod.ts";
import * as templates from "../rollout_template/mod.ts";
import type * as routing from "../routing/mod.ts";
import type * as scorers from "../scorer/mod.ts";

const PROPOSE_TIMEOUT_MS = 5_000;
const GENERATION_TIMEOUT_MS = 600_000;
const RETRY_DELAY_MS = 100;

/** What feeds work with. */
export interface FeedContext {
  readonly clock: clocks.Clock;
  readonly client: control.ControlClient;
  readonly table: routing.ServerTable;
  readonly scorer: scorers.ScorerClient;
  readonly metrics: metrics.Metrics;
  readonly log: logs.Log;
  readonly connectTimeoutMs: number;
}

/** A sample that is made but not bound. */
interface ReadySample {
  readonly sample: Omit<steps.Sample, "ageMs">;
  /** Monotonic time of its first token, in ms. */
  readonly firstTokenAtMs: number;
}

/**
 * Makes the samples of one step on this box. Samples wait here unbound until
 * the trainer fetches; only then is their age checked and the slot bound.
 */
export class StepFeed {
  readonly #context: FeedContext;
  readonly #view: replicated.StepView;
  readonly #template: string;
  readonly #stopped = new csp.Cancellation();
  readonly #ready = new Map<number, ReadySample>();
  readonly #bound = new Map<number, steps.Sample>();
  readonly #acknowledged: Set<number>;
  readonly #running = new Set<number>();
  readonly #changed = new csp.Signal();
  #trainerVersion = 0;
  #binding: Promise<results.Result<undefined>> | undefined;

  constructor(context: FeedContext, view: replicated.StepView) {
    this.#context = context;
    this.#view = view;
    const { account, template } = view.request;
    this.#template = templates.formatTemplateKey(account, template);
    for (const sample of view.bound) this.#bound.set(sample.slot, sample);
    this.#acknowledged = new Set(view.acknowledged);
  }

  /** Starts to make what the step lacks. */
  start(): void {
    this.#scheduleSlots();
  }

  /** Gives up what is under way; what was bound stays bound. */
  stop(): void {
    this.#stopped.cancel();
    this.#changed.notify();
  }

  isStopped(): boolean {
    return this.#stopped.isCancelled();
  }

  isComplete(): boolean {
    return this.#acknowledged.size === this.countSlots();
  }

  /**
   * Binds what is ready and gives all that is bound and not acknowledged.
   *
   * @param trainerVersion The trainer's weight version.
   * @param waitMs How long to wait for a first sample, in ms.
   * @returns The samples; none after the wait.
   */
  async fetch(
    trainerVersion: number,
    waitMs: number,
  ): Promise<results.Result<readonly steps.Sample[]>> {
    const { clock } = this.#context;
    const endMs = clock.getMonotonicMs() + waitMs;
    this.#trainerVersion = Math.max(this.#trainerVersion, trainerVersion);
    for (;;) {
      const bound = await this.#bindReady();
      if (bound.kind === "failure") return bound;
      const remainingMs = endMs - clock.getMonotonicMs();
      const hasResult = this.#bound.size > 0 || this.isComplete() ||
        this.isStopped();
      if (hasResult || remainingMs <= 0) {
        return results.createOk([...this.#bound.values()]);
      }
      if (this.#ready.size === 0) await this.#changed.wait(clock, remainingMs);
    }
  }

  /** Notes what the trainer holds. */
  async acknowledge(
    slots: readonly number[],
  ): Promise<results.Result<undefined>> {
    const command = {
      kind: "acknowledgeSamples",
      stepId: this.#view.stepId,
      slots,
    } as const;
    const answer = await this.#context.client.propose(
      command,
      PROPOSE_TIMEOUT_MS,
    );
    if (answer.kind === "failure") return answer;
    for (const slot of slots) {
      if (this.#bound.delete(slot)) this.#acknowledged.add(slot);
    }
    return results.createOk(undefined);
  }

  /** Counts the slots of the step. */
  countSlots(): number {
    return steps.countSlots({ request: this.#view.request });
  }

  #scheduleSlots(): void {
    const template = this.#context.client.getView().templates.get(
      this.#template,
    );
    const limit = template?.parameters.maxConcurrent ?? 0;
    for (let slot = 0; slot < this.countSlots(); slot += 1) {
      if (this.isStopped() || this.#running.size >= limit) return;
      if (this.#isMissing(slot)) this.#startSlot(slot);
    }
  }

  #isMissing(slot: number): boolean {
    return !this.#running.has(slot) && !this.#ready.has(slot) &&
      !this.#bound.has(slot) && !this.#acknowledged.has(slot);
  }

  #startSlot(slot: number): void {
    this.#running.add(slot);
    this.#generateSample(slot).then((sample) => {
      if (sample !== undefined) this.#ready.set(slot, sample);
    }).catch((error: unknown) => {
      this.#context.log.write("error", "sample.failed", {
        slot,
        message: String(error),
      });
    }).finally(() => {
      this.#running.delete(slot);
      this.#changed.notify();
      const delayMs = this.#ready.has(slot) ? 0 : RETRY_DELAY_MS;
      this.#context.clock.startTimer(delayMs, () => this.#scheduleSlots());
    });
  }

  async #generateSample(slot: number): Promise<ReadySample | undefined> {
    const { clock, client, table, scorer, connectTimeoutMs } = this.#context;
    const view = client.getView();
    const template = view.templates.get(this.#template);
    const account = view.accounts.get(this.#view.request.account);
    if (template === undefined || account === undefined) return undefined;
    const { parameters } = template;
    const prompt = this.#getPrompt(slot);
    const tokens: number[] = [];
    let spans: readonly steps.VersionSpan[] = [];
    let firstTokenAtMs = clock.getMonotonicMs();
    const generated = await generation.generateTokens({
      service: models.getServiceName(parameters.model),
      model: parameters.model,
      prompt,
      maxTokens: parameters.maxTokens,
      priority: parameters.priority,
      use: "rollout",
      minVersion: this.#getMinVersion(template, account),
    }, {
      clock,
      table,
      timeoutMs: GENERATION_TIMEOUT_MS,
      connectTimeoutMs,
      cancellation: this.#stopped,
      onToken: (token) => {
        if (tokens.length === 0) firstTokenAtMs = clock.getMonotonicMs();
        tokens.push(token.tokenId);
        spans = steps.appendToken(spans, token.weightVersion);
      },
    });
    if (generated.kind === "failure" || tokens.length === 0) return undefined;
    const score = await scorer.score(prompt, tokens);
    if (score.kind === "failure") return undefined;
    const sampleId = crypto.randomUUID();
    return {
      sample: { sampleId, slot, tokens, spans, score: score.value },
      firstTokenAtMs: firstTokenAtMs,
    };
  }

  #getMinVersion(
    template: templates.RolloutTemplate,
    account: Parameters<typeof templates.getStalenessBound>[1],
  ): number {
    const bound = templates.getStalenessBound(template, account);
    const model = this.#context.client.getView().models.get(
      template.parameters.model,
    );
    const newestVersion = Math.max(
      model?.weightVersion ?? 0,
      this.#trainerVersion,
    );
    return Math.max(
      template.parameters.minWeightVersion,
      newestVersion - bound.versions,
    );
  }

  #getPrompt(slot: number): string {
    const { prompts, groupSize } = this.#view.request;
    return `${prompts[Math.floor(slot / groupSize)]}#${slot % groupSize}`;
  }

  /** Fetches that come at once share one binding. */
  #bindReady(): Promise<results.Result<undefined>> {
    this.#binding ??= this.#proposeReady().finally(() => {
      this.#binding = undefined;
    });
    return this.#binding;
  }

  async #proposeReady(): Promise<results.Result<undefined>> {
    const ready = [...this.#ready.values()];
    if (ready.length === 0 || this.isStopped()) {
      return results.createOk(undefined);
    }
    const nowMs = this.#context.clock.getMonotonicMs();
    const samples = ready.map(({ sample, firstTokenAtMs: startedMs }) => ({
      ...sample,
      ageMs: Math.ceil(nowMs - startedMs),
    }));
    const answer = await this.#context.client.propose({
      kind: "bindSamples",
      stepId: this.#view.stepId,
      ownerEpoch: this.#view.ownerEpoch,
      trainerVersion: this.#trainerVersion,
      samples,
    }, PROPOSE_TIMEOUT_MS);
    if (answer.kind === "failure") return answer;
    if (answer.value.kind !== "binding") {
      return results.createFailure(
        "unknownStep",
        `Cannot bind samples: ${answer.value.kind}`,
      );
    }
    for (const item of answer.value.answers) this.#handleAnswer(item, samples);
    this.#scheduleSlots();
    return results.createOk(undefined);
  }

  #handleAnswer(
    answer: steps.BindAnswer,
    samples: readonly steps.Sample[],
  ): void {
    const sample = samples.find((candidate) =>
      candidate.sampleId === answer.sampleId
    );
    this.#ready.delete(answer.slot);
    switch (answer.refusal) {
      case undefined:
        this.#context.metrics.count("sample.bound");
        if (sample !== undefined) this.#bound.set(answer.slot, sample);
        return;
      case "stale":
      case "noSuchSlot":
        this.#context.metrics.count("sample.discarded");
        return;
      case "alreadyBound":
      case "otherOwner":
        return this.stop();
    }
  }
}
