import * as crypto from "node:crypto";
import * as csp from "../csp/mod.ts";
import type * as claims from "../call_claim/mod.ts";
import * as clocks from "../clock/mod.ts";
import type * as httpClient from "../http_client/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as replicated from "../replicated_state/mod.ts";
import * as results from "../results/mod.ts";
import * as forwards from "./_forward.ts";
import type * as callerContexts from "./caller_context.ts";
import type * as findRoute from "./find_route.ts";

const CLAIM_TIMEOUT_MS = 5_000;
const HELD_WAIT_MS = 2_000;
const HELD_RETRY_MS = 200;
const MAX_KEY_LENGTH = 200;
const RETRY_AFTER_MS = 500;

type ServiceRoute = Extract<findRoute.Route, { readonly kind: "service" }>;

/**
 * Serves a call that must not be repeated. Its key is claimed durably before
 * the first byte goes out; whoever asks again with the same key is given the
 * first answer, or told that the outcome is unknown.
 *
 * @param context The box.
 * @param call The call.
 * @param route Its route.
 */
export async function serveOnce(
  context: callerContexts.CallerContext,
  call: callerContexts.AdmittedCall,
  route: ServiceRoute,
): Promise<void> {
  const key = call.request.headers["idempotency-key"];
  if (typeof key !== "string" || key === "" || key.length > MAX_KEY_LENGTH) {
    return refuse(
      call,
      results.createFailure(
        "missingKey",
        `Cannot serve the call: it needs an idempotency-key header of at most ${MAX_KEY_LENGTH} characters`,
      ),
    );
  }
  await new OnceRun(context, call, route, key).run();
}

function refuse(
  call: callerContexts.AdmittedCall,
  result: { readonly failure: results.Failure },
): void {
  httpServer.respondFailure(call.response, result.failure);
}

/** One attempt at a call that must not be repeated. */
class OnceRun {
  readonly #context: callerContexts.CallerContext;
  readonly #call: callerContexts.AdmittedCall;
  readonly #route: ServiceRoute;
  readonly #key: string;
  readonly #claimId = crypto.randomUUID();

  constructor(
    context: callerContexts.CallerContext,
    call: callerContexts.AdmittedCall,
    route: ServiceRoute,
    key: string,
  ) {
    this.#context = context;
    this.#call = call;
    this.#route = route;
    this.#key = `${call.account.id}|${route.service.name}|${key}`;
  }

  async run(): Promise<void> {
    const giveUpMs = this.#context.clock.getMonotonicMs() + HELD_WAIT_MS;
    for (;;) {
      const answer = await this.#claim();
      if (answer.kind === "failure") return this.#refuseClaim(answer.failure);
      const isHeld = answer.value.kind === "heldByOther";
      const canWait = this.#context.clock.getMonotonicMs() < giveUpMs;
      if (!isHeld || !canWait) return this.#actOn(answer.value);
      await clocks.sleep(this.#context.clock, HELD_RETRY_MS);
    }
  }

  #claim(): Promise<results.Result<replicated.CommandAnswer>> {
    const { clock, client } = this.#context;
    const leftMs = this.#call.deadlineMs - clock.getMonotonicMs();
    return client.propose({
      kind: "claimCall",
      key: this.#key,
      digest: hashCall(this.#call, this.#route),
      claimId: this.#claimId,
      atMs: clock.getWallMs(),
    }, Math.max(1, Math.min(CLAIM_TIMEOUT_MS, leftMs)));
  }

  /** Nothing was sent, so the refusal is true even if the claim lasts. */
  #refuseClaim(failure: results.Failure): void {
    refuse(
      this.#call,
      results.createFailure(
        "noLeader",
        `Cannot claim the call: ${failure.message}`,
        {
          retryAfterMs: RETRY_AFTER_MS,
        },
      ),
    );
  }

  async #actOn(answer: replicated.CommandAnswer): Promise<void> {
    switch (answer.kind) {
      case "claimed":
        return await this.#send();
      case "answered":
        return answerStored(this.#call, answer.answer);
      case "keyReused":
        return refuse(
          this.#call,
          results.createFailure(
            "keyReused",
            "Cannot serve the call: its key was used for another request",
          ),
        );
      default:
        return refuse(
          this.#call,
          results.createFailure(
            "unknownOutcome",
            "Cannot repeat the call: an earlier send of it may have run",
            {
              outcome: "unknown",
            },
          ),
        );
    }
  }

  async #send(): Promise<void> {
    const outcome = await this.#forward();
    switch (outcome.kind) {
      case "answered":
        return this.#finish(outcome);
      case "notSent":
        return await this.#release(outcome.message);
      case "broken":
        return this.#abandon(outcome.message);
    }
  }

  /** Tries servers until one took a byte of the request. */
  async #forward(): Promise<httpClient.HttpOutcome> {
    const neverCancelled = new csp.Cancellation();
    let excluded: ReadonlySet<string> = new Set();
    let last: httpClient.HttpOutcome = {
      kind: "notSent",
      message: "no backend server is live",
    };
    for (;;) {
      const server = this.#context.table.choosePlain(
        this.#route.service.name,
        excluded,
      );
      if (server === undefined) return last;
      excluded = new Set([...excluded, server.id]);
      last = await forwards.forwardCall(this.#context, this.#call, server, {
        path: this.#route.path,
        requestId: this.#claimId,
        isFreshConnection: true,
        cancellation: neverCancelled,
      });
      if (last.kind !== "notSent") return last;
    }
  }

  #finish(
    outcome: Extract<httpClient.HttpOutcome, { kind: "answered" }>,
  ): void {
    const contentType = forwards.getContentType(outcome.head);
    const { status } = outcome.head;
    const bodyBase64 = outcome.body.toString("base64");
    this.#end({
      kind: "answered",
      answer: { status, contentType, bodyBase64 },
    });
    forwards.answerWhole(
      this.#call.response,
      status,
      contentType,
      outcome.body,
    );
  }

  #abandon(message: string): void {
    this.#end({ kind: "unknown" });
    refuse(
      this.#call,
      results.createFailure(
        "backendFailed",
        `Cannot finish the call: ${message}`,
        {
          outcome: "unknown",
        },
      ),
    );
  }

  async #release(message: string): Promise<void> {
    await this.#context.client.propose(
      { kind: "releaseCall", key: this.#key, claimId: this.#claimId },
      CLAIM_TIMEOUT_MS,
    );
    refuse(
      this.#call,
      results.createFailure(
        "noBackendServer",
        `Cannot serve the call: ${message}`,
        {
          retryAfterMs: RETRY_AFTER_MS,
        },
      ),
    );
  }

  #end(state: Exclude<claims.ClaimState, { readonly kind: "pending" }>): void {
    const command = {
      kind: "finishCall",
      key: this.#key,
      claimId: this.#claimId,
      state,
    } as const;
    void this.#context.client.propose(command, CLAIM_TIMEOUT_MS);
  }
}

function hashCall(
  call: callerContexts.AdmittedCall,
  route: ServiceRoute,
): string {
  return crypto.createHash("sha256")
    .update(`${call.request.method} ${route.path}\n`)
    .update(call.body)
    .digest("hex");
}

function answerStored(
  call: callerContexts.AdmittedCall,
  answer: claims.StoredAnswer,
): void {
  const body = Buffer.from(answer.bodyBase64, "base64");
  forwards.answerWhole(call.response, answer.status, answer.contentType, body);
}
