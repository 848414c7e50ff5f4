import * as crypto from "node:crypto";
import * as csp from "../csp/mod.ts";
import type * as claims from "../call_claim/mod.ts";
import * as clocks from "../clock/mod.ts";
import type * as httpClient from "../http_client/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as replicated from "../replicated_state/mod.ts";
import * as results from "../results/mod.ts";
import * as forward from "./_forward.ts";
import type * as callerContexts from "./caller_context.ts";
import type * as findRoute from "./find_route.ts";

const CLAIM_TIMEOUT_MS = 5_000;
const MAX_CLAIM_WAIT_MS = 2_000;
const CLAIM_RETRY_DELAY_MS = 200;
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
export async function serveAtMostOnce(
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
  await new AtMostOnceCall(context, call, route, key).run();
}

function refuse(
  call: callerContexts.AdmittedCall,
  result: { readonly failure: results.Failure },
): void {
  httpServer.respondFailure(call.response, result.failure);
}

/** One attempt at a call that must not be repeated. */
class AtMostOnceCall {
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
    const waitDeadlineMs = this.#context.clock.getMonotonicMs() +
      MAX_CLAIM_WAIT_MS;
    for (;;) {
      const answer = await this.#claim();
      if (answer.kind === "failure") return this.#refuseClaim(answer.failure);
      const isHeldByOther = answer.value.kind === "heldByOther";
      const canWait = this.#context.clock.getMonotonicMs() < waitDeadlineMs;
      if (!isHeldByOther || !canWait) return this.#handleClaim(answer.value);
      await clocks.sleep(this.#context.clock, CLAIM_RETRY_DELAY_MS);
    }
  }

  #claim(): Promise<results.Result<replicated.CommandAnswer>> {
    const { clock, client } = this.#context;
    const remainingMs = this.#call.deadlineMs - clock.getMonotonicMs();
    return client.propose({
      kind: "claimCall",
      key: this.#key,
      digest: hashCall(this.#call, this.#route),
      claimId: this.#claimId,
      atMs: clock.getWallMs(),
    }, Math.max(1, Math.min(CLAIM_TIMEOUT_MS, remainingMs)));
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

  async #handleClaim(answer: replicated.CommandAnswer): Promise<void> {
    switch (answer.kind) {
      case "claimed":
        return await this.#send();
      case "answered":
        return sendStoredAnswer(this.#call, answer.answer);
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
        return this.#completeCall(outcome);
      case "notSent":
        return await this.#releaseClaim(outcome.message);
      case "broken":
        return this.#failWithUnknownOutcome(outcome.message);
    }
  }

  /** Tries servers until one took a byte of the request. */
  async #forward(): Promise<httpClient.HttpOutcome> {
    const neverCancelled = new csp.Cancellation();
    let excluded: ReadonlySet<string> = new Set();
    let lastOutcome: httpClient.HttpOutcome = {
      kind: "notSent",
      message: "no backend server is live",
    };
    for (;;) {
      const server = this.#context.table.chooseForService(
        this.#route.service.name,
        excluded,
      );
      if (server === undefined) return lastOutcome;
      excluded = new Set([...excluded, server.id]);
      lastOutcome = await forward.forwardCall(
        this.#context,
        this.#call,
        server,
        {
          path: this.#route.path,
          requestId: this.#claimId,
          isFreshConnection: true,
          cancellation: neverCancelled,
        },
      );
      if (lastOutcome.kind !== "notSent") return lastOutcome;
    }
  }

  #completeCall(
    outcome: Extract<httpClient.HttpOutcome, { kind: "answered" }>,
  ): void {
    const contentType = forward.getContentType(outcome.head);
    const { status } = outcome.head;
    const bodyBase64 = outcome.body.toString("base64");
    this.#recordOutcome({
      kind: "answered",
      answer: { status, contentType, bodyBase64 },
    });
    forward.sendAnswer(
      this.#call.response,
      status,
      contentType,
      outcome.body,
    );
  }

  #failWithUnknownOutcome(message: string): void {
    this.#recordOutcome({ kind: "unknown" });
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

  async #releaseClaim(message: string): Promise<void> {
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

  #recordOutcome(
    state: Exclude<claims.ClaimState, { readonly kind: "pending" }>,
  ): void {
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

function sendStoredAnswer(
  call: callerContexts.AdmittedCall,
  answer: claims.StoredAnswer,
): void {
  const body = Buffer.from(answer.bodyBase64, "base64");
  forward.sendAnswer(call.response, answer.status, answer.contentType, body);
}
