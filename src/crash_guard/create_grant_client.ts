import type * as replicaGroups from "../replica_group/mod.ts";
import type * as crashGuards from "./crash_guard.ts";
import * as protocol from "./protocol.ts";

/**
 * Timeout of one attempt to ask for a grant, in ms. A leader answers within some
 * milliseconds, and the caller waits meanwhile.
 */
const ASK_ATTEMPT_MS = 100;
/**
 * Timeouts of reporting the end of a run. Without the report, the grant is held
 * until it expires.
 */
const END_CALL_TIMES: replicaGroups.CallTimeouts = {
  totalMs: 2_000,
  tryMs: 500,
};

/**
 * Creates the calls about grants to the store boxes' leader.
 *
 * @param leaderCaller Sends the calls to the current leader.
 * @returns The calls, as options of a `CrashGuard`.
 */
export function createGrantClient(
  leaderCaller: Pick<replicaGroups.LeaderCaller, "call">,
): Pick<crashGuards.CrashGuardOptions, "askGrant" | "endGrant"> {
  return {
    askGrant: async (request, timeoutMs) => {
      const reply = await leaderCaller.call<protocol.GrantReply>(
        protocol.METHODS.askGrant,
        request,
        { totalMs: timeoutMs, tryMs: ASK_ATTEMPT_MS },
      );
      return reply.kind === "ok" ? reply.value : undefined;
    },
    endGrant: (end) => {
      // If no leader receives this, the grant expires by its timeout.
      void leaderCaller.call<protocol.GrantEndReply>(
        protocol.METHODS.endGrant,
        end,
        END_CALL_TIMES,
      );
    },
  };
}
