import type * as http from "node:http";
import type * as accounts from "../client_account/mod.ts";
import type * as clocks from "../clock/mod.ts";
import type * as control from "../control/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as routing from "../routing/mod.ts";
import type * as settings from "../settings/mod.ts";
import type * as retryBudgets from "./retry_budget.ts";

/** Dependencies of the caller API of a box. */
export interface CallerContext {
  readonly settings: settings.Settings;
  readonly clock: clocks.Clock;
  readonly client: control.ControlClient;
  readonly table: routing.ServerTable;
  readonly budget: retryBudgets.RetryBudget;
  readonly metrics: metrics.Metrics;
  readonly log: logs.Log;
}

/** An admitted request and its client account. */
export interface AdmittedCall {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly account: accounts.ClientAccount;
  readonly body: Buffer;
  /** Monotonic time by which the response must be complete, in ms. */
  readonly deadlineMs: number;
}
