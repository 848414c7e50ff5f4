import type * as http from "node:http";
import type * as control from "../control/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as logs from "../log/mod.ts";
import * as results from "../results/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as accessChecks from "./check_access.ts";
import * as operatorRoutes from "./operator_routes.ts";
import type * as operatorServices from "./operator_service.ts";

/** Options of an {@link OperatorListener}. */
export interface OperatorListenerOptions {
  readonly settings: settings.Settings;
  readonly client: control.ControlClient;
  readonly service: operatorServices.OperatorService;
  readonly log: logs.Log;
  /** Starts the planned shutdown of this box. */
  readonly onDrain: () => void;
}

/** HTTP listener of a box's administration API. */
export class OperatorListener {
  readonly #options: OperatorListenerOptions;
  readonly #listener: httpServer.HttpListener;

  constructor(options: OperatorListenerOptions) {
    this.#options = options;
    const { receiveTimeoutMs } = options.settings.limits;
    this.#listener = new httpServer.HttpListener(
      (request, response) => this.#serve(request, response),
      {
        headersTimeoutMs: receiveTimeoutMs,
        requestTimeoutMs: receiveTimeoutMs,
      },
    );
  }

  start(): Promise<void> {
    const { box, listen } = this.#options.settings;
    return this.#listener.listen(box.address, listen.adminPort);
  }

  close(): void {
    this.#listener.close(true);
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const route = operatorRoutes.findOperatorRoute(
      request.method ?? "",
      request.url ?? "/",
    );
    const { client, settings: { administration } } = this.#options;
    const operator = accessChecks.findOperator(
      request,
      administration.rootTokenSha256,
      client.getView(),
    );
    if (operator.kind === "failure") {
      return httpServer.respondFailure(response, operator.failure);
    }
    const access = accessChecks.checkAccess(operator.value, route);
    if (access.kind === "failure") {
      return httpServer.respondFailure(response, access.failure);
    }
    const exchange = { request, response };
    const answer = await this.#answer(exchange, operator.value, route);
    if (answer.kind === "failure") {
      return httpServer.respondFailure(response, answer.failure);
    }
    httpServer.respondJson(response, 200, answer.value);
  }

  async #answer(
    exchange: httpServer.Exchange,
    operator: accessChecks.Operator,
    route: operatorRoutes.OperatorRoute,
  ): Promise<results.Result<object>> {
    const { service, onDrain } = this.#options;
    switch (route.kind) {
      case "getAccount":
        return service.getAccount(route.account);
      case "listTemplates":
        return service.listTemplates(route.account);
      case "getTemplate":
        return service.getTemplate(route.account, route.template);
      case "getRole":
        return await service.getRole(route.server);
      case "audit":
        return await service.readAudit(operator, route.query);
      case "status":
        return await service.readStatus(operator);
      case "drain":
        onDrain();
        return results.createOk({ isDraining: true });
      case "setAccount":
      case "setTemplate":
      case "setRole":
      case "logLevel":
        return await this.#answerChange(exchange, operator, route);
      case "unknown":
        return results.createFailure(
          "unknownRoute",
          `Cannot serve the operator: there is no route ${exchange.request.method} ${exchange.request.url}`,
        );
    }
  }

  async #answerChange(
    exchange: httpServer.Exchange,
    operator: accessChecks.Operator,
    route: Extract<
      operatorRoutes.OperatorRoute,
      { kind: "setAccount" | "setTemplate" | "setRole" | "logLevel" }
    >,
  ): Promise<results.Result<object>> {
    const body = await httpServer.readJson(
      exchange,
      this.#options.settings.limits,
    );
    if (body.kind === "failure") return body;
    const { service } = this.#options;
    switch (route.kind) {
      case "setAccount":
        return await service.setAccount(operator, route.account, body.value);
      case "setTemplate":
        return await service.setTemplate(operator, route, body.value);
      case "setRole":
        return await service.setRole(operator, route.server, body.value);
      case "logLevel":
        return this.#setLogLevel(body.value["level"]);
    }
  }

  #setLogLevel(requested: unknown): results.Result<object> {
    const level = logs.LOG_LEVELS.find((candidate) => candidate === requested);
    if (level === undefined) {
      return results.createFailure(
        "badParameters",
        `Cannot set the log level: it must be one of ${
          logs.LOG_LEVELS.join(", ")
        }`,
      );
    }
    this.#options.log.setLevel(level);
    return results.createOk({ level });
  }
}
