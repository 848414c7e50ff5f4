import * as z from "zod";
import type * as callers from "../caller/mod.ts";
import * as control from "../control/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as replicated from "../replicated_state/mod.ts";
import * as results from "../results/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as steps from "../rollout_step/mod.ts";
import * as templates from "../rollout_template/mod.ts";
import * as peerClients from "./peer_clients.ts";
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

type Body = Readonly<Record<string, unknown>>;

/** A trainer's request as it goes between boxes. */
interface TrainerRequest {
  readonly account: string;
  readonly trainer: string;
  readonly action: callers.TrainerAction;
  readonly body: Body;
}

/** Where a step is worked on. */
type StepOwner =
  | { readonly kind: "here"; readonly feed: stepFeeds.StepFeed }
  | { readonly kind: "other"; readonly box: string };

/**
 * Answers trainers: a step is opened, fetched and acknowledged. A trainer may
 * ask any box; the box that owns the step answers through it.
 */
export class TrainerService implements callers.TrainerHandler {
  readonly #context: stepFeeds.FeedContext;
  readonly #feeds = new Map<string, stepFeeds.StepFeed>();
  readonly #peers = new peerClients.PeerClients();

  /** @param server Takes the requests that other boxes pass on. */
  constructor(context: stepFeeds.FeedContext, server: rpc.RpcServer) {
    this.#context = context;
    server.add(
      control.METHODS.trainer,
      (request: TrainerRequest) => this.#answer(request, false),
    );
  }

  stop(): void {
    for (const feed of this.#feeds.values()) feed.stop();
    this.#peers.close();
  }

  async handle(
    call: callers.AdmittedCall,
    route: Parameters<callers.TrainerHandler["handle"]>[1],
  ): Promise<void> {
    const body = httpServer.parseObject(call.body);
    if (body.kind === "failure") {
      return httpServer.respondFailure(call.response, body.failure);
    }
    const { trainer, action } = route;
    const request = {
      account: call.account.id,
      trainer,
      action,
      body: body.value,
    };
    const answer = await this.#answer(request, true);
    if (answer.kind === "failure") {
      return httpServer.respondFailure(call.response, answer.failure);
    }
    httpServer.respondJson(call.response, 200, answer.value);
  }

  async #answer(
    request: TrainerRequest,
    canForward: boolean,
  ): Promise<results.Result<object>> {
    const stepId = parseStepId(request);
    if (stepId.kind === "failure") return stepId;
    const owner = await this.#resolveOwner(request, stepId.value, []);
    if (owner.kind === "failure") return owner;
    if (owner.value.kind === "here") {
      return await this.#serve(request, owner.value.feed);
    }
    if (!canForward) return createMovedFailure();
    return await this.#forward(request, stepId.value, owner.value.box);
  }

  /** Passes a request on; an owner that does not answer loses the step. */
  async #forward(
    request: TrainerRequest,
    stepId: string,
    ownerBox: string,
  ): Promise<results.Result<object>> {
    const { boxes } = this.#context.client.getView().membership;
    const box = boxes.find((candidate) => candidate.id === ownerBox);
    const answer = box === undefined
      ? undefined
      : await this.#peers.call<results.Result<object>>(
        box,
        control.METHODS.trainer,
        request,
      );
    if (answer !== undefined) return answer;
    const newOwner = await this.#resolveOwner(request, stepId, [ownerBox]);
    if (newOwner.kind === "failure") return newOwner;
    if (newOwner.value.kind === "other") return createMovedFailure();
    return await this.#serve(request, newOwner.value.feed);
  }

  async #serve(
    request: TrainerRequest,
    feed: stepFeeds.StepFeed,
  ): Promise<results.Result<object>> {
    switch (request.action) {
      case "open":
        return results.createOk({ slots: feed.countSlots() });
      case "fetch":
        return await fetchSamples(feed, request.body);
      case "acknowledge":
        return await this.#acknowledge(feed, request.body);
    }
  }

  async #acknowledge(
    feed: stepFeeds.StepFeed,
    body: Body,
  ): Promise<results.Result<object>> {
    const parsed = httpServer.parseFields(acknowledgeSchema, body);
    if (parsed.kind === "failure") return parsed;
    const acknowledged = await feed.acknowledge(parsed.value.slots);
    if (acknowledged.kind === "failure") return acknowledged;
    return results.createOk({ isComplete: feed.isComplete() });
  }

  async #resolveOwner(
    request: TrainerRequest,
    stepId: string,
    unreachableBoxes: readonly string[],
  ): Promise<results.Result<StepOwner>> {
    const existing = this.#feeds.get(stepId);
    if (existing !== undefined && !existing.isStopped()) {
      return results.createOk({ kind: "here", feed: existing });
    }
    const command = this.#createCommand(request, stepId, unreachableBoxes);
    if (command.kind === "failure") return command;
    const answer = await this.#context.client.propose(
      command.value,
      PROPOSE_TIMEOUT_MS,
    );
    if (answer.kind === "failure") return answer;
    switch (answer.value.kind) {
      case "step":
        return results.createOk({
          kind: "here",
          feed: this.#startFeed(answer.value.step),
        });
      case "ownedBy":
        return results.createOk({ kind: "other", box: answer.value.box });
      default:
        return results.createFailure(
          "unknownStep",
          "Cannot serve the step: it was not opened",
        );
    }
  }

  #createCommand(
    request: TrainerRequest,
    stepId: string,
    unreachableBoxes: readonly string[],
  ): results.Result<replicated.OpenStep | replicated.TakeStep> {
    const { client } = this.#context;
    const box = client.getBoxView().id;
    const liveBoxes = client.getView().membership.boxes
      .filter((other) =>
        !other.isDraining && !unreachableBoxes.includes(other.id)
      )
      .map((other) => other.id);
    if (request.action !== "open") {
      return results.createOk({ kind: "takeStep", stepId, box, liveBoxes });
    }
    const stepRequest = this.#createStepRequest(request);
    if (stepRequest.kind === "failure") return stepRequest;
    return results.createOk({
      kind: "openStep",
      box,
      liveBoxes,
      request: stepRequest.value,
    });
  }

  #createStepRequest(
    request: TrainerRequest,
  ): results.Result<steps.StepRequest> {
    const { account, trainer, body } = request;
    const parsed = httpServer.parseFields(openSchema, body);
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
    return results.createOk({
      account,
      template: name,
      trainer,
      step,
      groupSize,
      prompts,
    });
  }

  #startFeed(view: replicated.StepView): stepFeeds.StepFeed {
    const existing = this.#feeds.get(view.stepId);
    if (existing !== undefined && !existing.isStopped()) return existing;
    this.#removeFinishedFeeds();
    const feed = new stepFeeds.StepFeed(this.#context, view);
    this.#feeds.set(view.stepId, feed);
    feed.start();
    return feed;
  }

  #removeFinishedFeeds(): void {
    for (const [stepId, feed] of this.#feeds) {
      if (feed.isStopped() || feed.isComplete()) this.#feeds.delete(stepId);
    }
  }
}

async function fetchSamples(
  feed: stepFeeds.StepFeed,
  body: Body,
): Promise<results.Result<object>> {
  const parsed = httpServer.parseFields(fetchSchema, body);
  if (parsed.kind === "failure") return parsed;
  const { trainerVersion, waitMs } = parsed.value;
  const fetched = await feed.fetch(trainerVersion, waitMs);
  if (fetched.kind === "failure") return fetched;
  return results.createOk({
    samples: fetched.value,
    isComplete: feed.isComplete(),
  });
}

function parseStepId(request: TrainerRequest): results.Result<string> {
  const parsed = httpServer.parseFields(z.object(stepFields), request.body);
  if (parsed.kind === "failure") return parsed;
  return results.createOk(
    steps.formatStepId({ account: request.account, ...parsed.value }),
  );
}

function createMovedFailure(): results.Result<object> {
  return results.createFailure(
    "unknownStep",
    "Cannot serve the step: it moves to another box",
    {
      retryAfterMs: RETRY_AFTER_MS,
    },
  );
}
