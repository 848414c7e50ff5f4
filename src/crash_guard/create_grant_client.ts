import type * as replicaGroups from "../replica_group/mod.ts";
import type * as crashGuards from "./crash_guard.ts";
import * as protocol from "./protocol.ts";

/**
 * Longest wait for a grant, in ms: a leader answers within some milliseconds, and
 * the caller of the request waits meanwhile.
 */
const ASK_CALL_TIMES: replicaGroups.CallTimes = { totalMs: 200, tryMs: 100 };
/** The same for the end of a run; without it the grant lasts its whole time. */
const END_CALL_TIMES: replicaGroups.CallTimes = { totalMs: 2_000, tryMs: 500 };

/**
 * Makes the calls about grants to the leader of the stores.
 *
 * @param leaderCaller Calls the leader.
 * @returns What a crash guard needs of them.
 */
export function createGrantClient(
  leaderCaller: Pick<replicaGroups.LeaderCaller, "call">,
): Pick<crashGuards.CrashGuardOptions, "askGrant" | "endGrant"> {
  return {
    askGrant: async (request) => {
      const reply = await leaderCaller.call<protocol.GrantReply>(
        protocol.METHODS.askGrant,
        request,
        ASK_CALL_TIMES,
      );
      return reply.kind === "ok" ? reply.value : undefined;
    },
    endGrant: (end) => {
      // A leader that is not told counts the run until its time is over.
      void leaderCaller.call<protocol.GrantEndReply>(
        protocol.METHODS.endGrant,
        end,
        END_CALL_TIMES,
      );
    },
  };
}
