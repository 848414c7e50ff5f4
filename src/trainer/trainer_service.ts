import * as z from "zod";
import type * as callers from "../caller/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as replicated from "../replicated_state/mod.ts";
import * as results from "../results/mod.ts";
import * as steps from "../rollout_step/mod.ts";
import * as templates from "../rollout_template/mod.ts";
import * as stepFeeds from "./step_feed.ts";

const MAX_PROMPTS = 8_192;
const MAX_WAIT_MS = 20_000;
const PROPOSE_TIMEOUT_MS = 5_000;
const RETRY_AFTER_MS = 500;

const stepFields = {
  template: z.string().min(1),
  step: z.number().int().min(0),
};

const openSchema = z.strictObject({
  ...stepFields,
  prompts: z.array(z.string()).min(1).max(MAX_PROMPTS).readonly(),
});

const fetchSchema = z.strictObject({
  ...stepFields,
  /** Weight version that the trainer is at. */
  trainerVersion: z.number().int().min(0),
  waitMs: z.number().int().min(0).max(MAX_WAIT_MS).default(0),
});

const acknowledgeSchema = z.strictObject({
  ...stepFields,
  slots: z.array(z.number().int().min(0)).readonly(),
});

/** Answers trainers: a step is opened, fetched and acknowledged. */
export class TrainerService implements callers.TrainerHandler {
  readonly #context: stepFeeds.FeedContext;
  readonly #feeds = new Map<string, stepFeeds.StepFeed>();

  constructor(context: stepFeeds.FeedContext) {
    this.#context = context;
  }

  stop(): void {
    for (const feed of this.#feeds.values()) feed.stop();
  }

  async handle(
    call: callers.AdmittedCall,
    route: Parameters<callers.TrainerHandler["handle"]>[1],
  ): Promise<void> {
    const body = httpServer.parseObject(call.body);
    const answer = body.kind === "failure"
      ? body
      : await this.#answer(call.account.id, route, body.value);
    if (answer.kind === "failure") {
      return httpServer.answerFailure(call.response, answer.failure);
    }
    httpServer.answerJson(call.response, 200, answer.value);
  }

  #answer(
    account: string,
    route: Parameters<callers.TrainerHandler["handle"]>[1],
    body: Readonly<Record<string, unknown>>,
  ): Promise<results.Result<object>> {
    switch (route.action) {
      case "open":
        return this.#open(account, route.trainer, body);
      case "fetch":
        return this.#fetch(account, body);
      case "acknowledge":
        return this.#acknowledge(account, body);
    }
  }

  async #open(
    account: string,
    trainer: string,
    body: Readonly<Record<string, unknown>>,
  ): Promise<results.Result<object>> {
    const parsed = parseFields(openSchema, body);
    if (parsed.kind === "failure") return parsed;
    const { template: name, step, prompts } = parsed.value;
    const key = templates.formatTemplateKey(account, name);
    const template = this.#context.client.getView().templates.get(key);
    if (template === undefined || template.parameters.trainer !== trainer) {
      return results.createFailure(
        "unknownTemplate",
        `Cannot open the step: no template ${name} feeds trainer ${trainer}`,
      );
    }
    const { groupSize } = template.parameters;
    const { box } = this.#getBox();
    const opened = await this.#takeView({
      kind: "openStep",
      box,
      request: { account, template: name, trainer, step, groupSize, prompts },
    });
    if (opened.kind === "failure") return opened;
    const { stepId, request } = opened.value;
    this.#startFeed(opened.value);
    return results.createOk({ stepId, slots: steps.countSlots({ request }) });
  }

  async #fetch(
    account: string,
    body: Readonly<Record<string, unknown>>,
  ): Promise<results.Result<object>> {
    const parsed = parseFields(fetchSchema, body);
    if (parsed.kind === "failure") return parsed;
    const { template, step, trainerVersion, waitMs } = parsed.value;
    const feed = await this.#findFeed(
      steps.formatStepId({ account, template, step }),
    );
    if (feed.kind === "failure") return feed;
    const fetched = await feed.value.fetch(trainerVersion, waitMs);
    if (fetched.kind === "failure") return fetched;
    return results.createOk({
      samples: fetched.value,
      isComplete: feed.value.isComplete(),
    });
  }

  async #acknowledge(
    account: string,
    body: Readonly<Record<string, unknown>>,
  ): Promise<results.Result<object>> {
    const parsed = parseFields(acknowledgeSchema, body);
    if (parsed.kind === "failure") return parsed;
    const { template, step, slots } = parsed.value;
    const stepId = steps.formatStepId({ account, template, step });
    const feed = await this.#findFeed(stepId);
    if (feed.kind === "failure") return feed;
    const done = await feed.value.acknowledge(slots);
    if (done.kind === "failure") return done;
    const isComplete = feed.value.isComplete();
    if (isComplete) this.#dropFeed(stepId);
    return results.createOk({ isComplete });
  }

  /** A box that has no feed for the step takes the step over. */
  async #findFeed(stepId: string): Promise<results.Result<stepFeeds.StepFeed>> {
    const known = this.#feeds.get(stepId);
    if (known !== undefined && !known.isStopped()) {
      return results.createOk(known);
    }
    const taken = await this.#takeView({
      kind: "takeStep",
      stepId,
      box: this.#getBox().box,
    });
    if (taken.kind === "failure") return taken;
    return results.createOk(this.#startFeed(taken.value));
  }

  async #takeView(
    command: replicated.OpenStep | replicated.TakeStep,
  ): Promise<results.Result<replicated.StepView>> {
    const answer = await this.#context.client.propose(
      command,
      PROPOSE_TIMEOUT_MS,
    );
    if (answer.kind === "failure") return answer;
    if (answer.value.kind === "step") {
      return results.createOk(answer.value.step);
    }
    return results.createFailure(
      "unknownStep",
      "Cannot serve the step: it was not opened",
      {
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }

  #startFeed(view: replicated.StepView): stepFeeds.StepFeed {
    const known = this.#feeds.get(view.stepId);
    if (known !== undefined && !known.isStopped()) return known;
    const feed = new stepFeeds.StepFeed(this.#context, view);
    this.#feeds.set(view.stepId, feed);
    feed.start();
    return feed;
  }

  #dropFeed(stepId: string): void {
    this.#feeds.get(stepId)?.stop();
    this.#feeds.delete(stepId);
  }

  #getBox(): { readonly box: string } {
    return { box: this.#context.client.getBoxView().id };
  }
}

function parseFields<T>(
  schema: z.ZodType<T>,
  body: Readonly<Record<string, unknown>>,
): results.Result<T> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return results.createOk(parsed.data);
  const issue = parsed.error.issues[0];
  return results.createFailure(
    "badParameters",
    `Cannot read the request: ${issue?.path.join(".")}: ${issue?.message}`,
  );
}
