import type * as http from "node:http";
import type * as accounts from "../client_account/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as results from "../results/mod.ts";
import * as admitCall from "./admit_call.ts";
import * as addressLists from "./list_addresses.ts";
import type * as callerContexts from "./caller_context.ts";
import * as findRoute from "./find_route.ts";
import * as serveCompletion from "./serve_completion.ts";
import * as serveAtMostOnce from "./serve_at_most_once.ts";
import * as serveRepeatable from "./serve_repeatable.ts";

/** Serves the trainer API, which shares the caller port. */
export interface TrainerHandler {
  handle(
    call: callerContexts.AdmittedCall,
    route: Extract<findRoute.Route, { readonly kind: "trainer" }>,
  ): Promise<void>;
}

/** HTTP listener of a box's caller port: admits and serves requests. */
export class CallerListener {
  readonly #context: callerContexts.CallerContext;
  readonly #trainerHandler: TrainerHandler;
  readonly #listener: httpServer.HttpListener;
  readonly #inFlight = new Map<string, number>();

  constructor(
    context: callerContexts.CallerContext,
    trainerHandler: TrainerHandler,
  ) {
    this.#context = context;
    this.#trainerHandler = trainerHandler;
    const { receiveTimeoutMs } = context.settings.limits;
    this.#listener = new httpServer.HttpListener(
      (request, response) => this.#serve(request, response),
      {
        headersTimeoutMs: receiveTimeoutMs,
        requestTimeoutMs: receiveTimeoutMs,
      },
    );
  }

  start(): Promise<void> {
    const { box, listen } = this.#context.settings;
    return this.#listener.listen(box.address, listen.callerPort);
  }

  getInFlight(): number {
    return this.#listener.getInFlightCount();
  }

  /** Tells callers with each response to use another box. */
  setDraining(): void {
    this.#listener.startDraining();
  }

  close(force: boolean): void {
    this.#listener.close(force);
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { settings, client, metrics } = this.#context;
    const route = findRoute.findRoute(
      request.method ?? "",
      request.url ?? "",
      settings.services,
    );
    if (route.kind === "addresses") return this.#serveAddresses(response);
    metrics.count("caller.requests");
    const account = admitCall.findAccount(request, client.getView());
    if (account.kind === "failure") {
      return this.#refuse(
        response,
        this.#selectAdmissionFailure(account.failure),
      );
    }
    const admitted = admitCall.admitCall(
      account.value,
      this.#getLoad(account.value),
    );
    if (admitted.kind === "failure") {
      return this.#refuse(response, admitted.failure);
    }
    this.#adjustInFlight(account.value.id, 1);
    response.once("close", () => this.#adjustInFlight(account.value.id, -1));
    await this.#serveAdmitted({ request, response }, account.value, route);
  }

  async #serveAdmitted(
    exchange: Pick<callerContexts.AdmittedCall, "request" | "response">,
    account: accounts.ClientAccount,
    route: findRoute.Route,
  ): Promise<void> {
    const { clock, settings: { limits }, metrics } = this.#context;
    const startMs = clock.getMonotonicMs();
    const body = await httpServer.readBody(exchange, limits);
    if (body.kind === "failure") {
      return this.#refuse(exchange.response, body.failure);
    }
    const deadlineMs = startMs + limits.requestTimeoutMs;
    const call = { ...exchange, account, body: body.value, deadlineMs };
    await this.#dispatch(call, route);
    metrics.recordMs("caller.ms", clock.getMonotonicMs() - startMs);
  }

  async #dispatch(
    call: callerContexts.AdmittedCall,
    route: findRoute.Route,
  ): Promise<void> {
    switch (route.kind) {
      case "completion":
        return await serveCompletion.serveCompletion(
          this.#context,
          call,
          route.format,
        );
      case "service":
        return route.operation.repeatable
          ? await serveRepeatable.serveRepeatable(this.#context, call, route)
          : await serveAtMostOnce.serveAtMostOnce(this.#context, call, route);
      case "trainer":
        return await this.#trainerHandler.handle(call, route);
      case "addresses":
        return this.#serveAddresses(call.response);
      case "unknown": {
        const { method, url } = call.request;
        const message =
          `Cannot serve the request: there is no route ${method} ${url}`;
        return this.#refuse(
          call.response,
          results.createFailure("unknownRoute", message).failure,
        );
      }
    }
  }

  #serveAddresses(response: http.ServerResponse): void {
    const { client, settings: { addresses } } = this.#context;
    if (!client.hasLease()) {
      const failure = results.createFailure(
        "noLease",
        "Cannot tell addresses: the box holds no configuration lease",
      );
      return this.#refuse(response, failure.failure);
    }
    const { membership } = client.getView();
    httpServer.respondJson(
      response,
      200,
      addressLists.listAddresses(membership, addresses.keepMs),
    );
  }

  /**
   * Replaces an authentication failure with `noLease` if the box has no lease,
   * since its list of tokens may be outdated.
   */
  #selectAdmissionFailure(failure: results.Failure): results.Failure {
    if (this.#context.client.hasLease()) return failure;
    return results.createFailure(
      "noLease",
      "Cannot admit the request: the box holds no configuration lease",
      {
        retryAfterMs: 200,
      },
    ).failure;
  }

  #getLoad(account: accounts.ClientAccount): admitCall.AdmissionLoad {
    return {
      hasLease: this.#context.client.hasLease(),
      inFlight: this.#listener.getInFlightCount(),
      maxInFlight: this.#context.settings.limits.maxInFlight,
      accountInFlight: this.#inFlight.get(account.id) ?? 0,
    };
  }

  #adjustInFlight(id: string, delta: number): void {
    this.#inFlight.set(id, (this.#inFlight.get(id) ?? 0) + delta);
  }

  #refuse(response: http.ServerResponse, failure: results.Failure): void {
    this.#context.metrics.count("caller.failures");
    httpServer.respondFailure(response, failure);
  }
}
