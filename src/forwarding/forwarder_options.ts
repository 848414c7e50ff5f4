import type * as dialects from "../dialect/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as attempts from "./_attempt.ts";
import type * as jobCrashGuards from "./_job_crash_guard.ts";
import type * as serverLoads from "./server_loads.ts";

/** What a forwarder needs. */
export interface ForwarderOptions extends jobCrashGuards.JobCrashGuardOptions {
  readonly log: logs.Log;
  readonly servers: registry.ServerRegistry;
  readonly loads: serverLoads.ServerLoads;
  readonly dialect: dialects.Dialect;
  readonly failureDomain: string;
  readonly draw: () => number;
  /**
   * Whether load is weighed: requests that full servers refused wait for a
   * place, full servers are passed over, second tries go only to free places,
   * and refused callers come back in turn.
   */
  readonly isLoadAware: boolean;
  /** Sends one attempt; over HTTP unless given. */
  readonly sendAttempt?: typeof attempts.sendAttempt;
}
