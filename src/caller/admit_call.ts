import type * as http from "node:http";
import * as accounts from "../client_account/mod.ts";
import type * as control from "../control/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import * as results from "../results/mod.ts";

const RETRY_AFTER_MS = 200;

/**
 * Finds the client account of a request's bearer token.
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

/** Load of a box when a request comes. */
export interface AdmissionLoad {
  readonly hasLease: boolean;
  readonly inFlight: number;
  readonly maxInFlight: number;
  readonly accountInFlight: number;
}

/**
 * Decides whether a request of an account is admitted. A refusal here is
 * true: nothing ran.
 *
 * @param account The client account.
 * @param load The load now.
 * @returns Ok, or `noLease` or `overloaded` with the time to come back.
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
