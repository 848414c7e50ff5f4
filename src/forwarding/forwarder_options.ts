import type * as dialects from "../dialect/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as attempts from "./_attempt.ts";
import type * as jobCrashGuards from "./_job_crash_guard.ts";
import type * as serverLoads from "./server_loads.ts";

/** Options of a `Forwarder`. */
export interface ForwarderOptions extends jobCrashGuards.JobCrashGuardOptions {
  readonly log: logs.Log;
  readonly servers: registry.ServerRegistry;
  readonly loads: serverLoads.ServerLoads;
  readonly dialect: dialects.Dialect;
  /** Failure domain of this box; its servers are preferred. */
  readonly failureDomain: string;
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly draw: () => number;
  /**
   * Whether forwarding takes load into account: requests refused by full servers
   * are queued for a free slot, full servers are passed over, hedged requests
   * need a free slot, and refused callers get staggered retry delays.
   */
  readonly isLoadAware: boolean;
  /** Sends one attempt; sends it over HTTP by default. */
  readonly sendAttempt?: typeof attempts.sendAttempt;
}
