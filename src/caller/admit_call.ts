import type * as http from "node:http";
import * as accounts from "../client_account/mod.ts";
import type * as control from "../control/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as results from "../results/mod.ts";

const RETRY_AFTER_MS = 200;

/**
 * Authenticates a request: finds the client account of its bearer token.
 *
 * @param request The request.
 * @param view The box's configuration.
 * @returns The account, or `badToken`.
 */
export function findAccount(
  request: http.IncomingMessage,
  view: control.ControlView,
): results.Result<accounts.ClientAccount> {
  const token = httpServer.readBearerToken(request);
  if (token === undefined) {
    return results.createFailure(
      "badToken",
      "Cannot admit the request: it has no bearer token",
    );
  }
  const account = view.accountsByToken.get(accounts.hashToken(token));
  if (account !== undefined) return results.createOk(account);
  return results.createFailure(
    "badToken",
    "Cannot admit the request: its token is unknown",
  );
}

/** State of a box that decides whether it admits a request. */
export interface AdmissionLoad {
  /** Whether the box holds a configuration lease. */
  readonly hasLease: boolean;
  /** Requests that the box is serving. */
  readonly inFlight: number;
  /** Limit of `inFlight`. */
  readonly maxInFlight: number;
  /** Requests of the client account that the box is serving. */
  readonly accountInFlight: number;
}

/**
 * Decides whether a request of a client account is admitted. A refused request
 * was not sent to any backend server.
 *
 * @param account The client account.
 * @param load The current load.
 * @returns Ok, or `noLease` or `overloaded` with a retry delay.
 */
export function admitCall(
  account: accounts.ClientAccount,
  load: AdmissionLoad,
): results.Result<undefined> {
  if (!load.hasLease) {
    return results.createFailure(
      "noLease",
      "Cannot admit the request: the box holds no configuration lease",
      {
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }
  if (load.inFlight >= load.maxInFlight) {
    return results.createFailure(
      "overloaded",
      `Cannot admit the request: the box serves ${load.inFlight} already`,
      {
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }
  if (load.accountInFlight >= account.policy.maxInFlight) {
    return results.createFailure(
      "overloaded",
      `Cannot admit the request: the account has ${load.accountInFlight} under way`,
      {
        retryAfterMs: RETRY_AFTER_MS,
      },
    );
  }
  return results.createOk(undefined);
}
