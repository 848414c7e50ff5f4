import type * as http from "node:http";
import * as accounts from "../client_account/mod.ts";
import type * as control from "../control/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as results from "../results/mod.ts";
import type * as operatorRoutes from "./operator_routes.ts";

/** Who asks. */
export type Operator =
  | { readonly kind: "root" }
  | { readonly kind: "account"; readonly account: string };

/**
 * Finds out who asks.
 *
 * @param request The request.
 * @param rootTokenSha256 Hash of the root token.
 * @param view The box's configuration.
 * @returns The operator, or `badToken`.
 */
export function findOperator(
  request: http.IncomingMessage,
  rootTokenSha256: string,
  view: control.ControlView,
): results.Result<Operator> {
  const token = httpServer.readBearerToken(request);
  if (token === undefined) {
    return results.createFailure(
      "badToken",
      "Cannot admit the operator: the request has no bearer token",
    );
  }
  const hash = accounts.hashToken(token);
  if (hash === rootTokenSha256) return results.createOk({ kind: "root" });
  const account = view.accountsByToken.get(hash)?.id;
  if (account !== undefined) {
    return results.createOk({ kind: "account", account });
  }
  return results.createFailure(
    "badToken",
    "Cannot admit the operator: the token is unknown",
  );
}

/**
 * Tells whether an operator may use a route. An operator of a client account
 * reaches only that account; whether another exists is not told.
 *
 * @param operator Who asks.
 * @param route What is asked.
 * @returns Ok, or `forbidden`.
 */
export function checkAccess(
  operator: Operator,
  route: operatorRoutes.OperatorRoute,
): results.Result<undefined> {
  if (operator.kind === "root") return results.createOk(undefined);
  switch (route.kind) {
    case "getAccount":
    case "listTemplates":
    case "getTemplate":
    case "setTemplate":
      if (route.account === operator.account) {
        return results.createOk(undefined);
      }
      return results.createFailure(
        "forbidden",
        "Cannot serve the operator: the token is for another client account",
      );
    case "audit":
    case "status":
    case "unknown":
      return results.createOk(undefined);
    case "getRole":
    case "setRole":
    case "setAccount":
    case "drain":
    case "logLevel":
      return results.createFailure(
        "forbidden",
        "Cannot serve the operator: only the root token may do this",
      );
  }
}
