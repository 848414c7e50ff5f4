import type * as http from "node:http";
import type * as accounts from "../client_account/mod.ts";
import type * as clocks from "../clock/mod.ts";
import type * as control from "../control/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as routing from "../routing/mod.ts";
import type * as settings from "../settings/mod.ts";
import type * as retryBudgets from "./retry_budget.ts";

/** What the caller side of a box works with. */
export interface CallerContext {
  readonly settings: settings.Settings;
  readonly clock: clocks.Clock;
  readonly client: control.ControlClient;
  readonly table: routing.ServerTable;
  readonly budget: retryBudgets.RetryBudget;
  readonly metrics: metrics.Metrics;
  readonly log: logs.Log;
}

/** One admitted request. */
export interface AdmittedCall {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly account: accounts.ClientAccount;
  readonly body: Buffer;
  /** Monotonic time by which the answer must be whole, in ms. */
  readonly deadlineMs: number;
}
