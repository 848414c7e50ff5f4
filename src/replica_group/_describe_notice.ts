import type * as consensus from "../consensus/mod.ts";
import type * as logs from "../log/mod.ts";

/** Fields of a log line about a replica notice. */
export type NoticeFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/**
 * Returns the log level: `warn` without a leader, as no call can be served, and for
 * a second group, which acknowledges what this one does not hold.
 */
export function chooseLogLevel(
  { kind }: consensus.ReplicaNotice,
): logs.LogLevel {
  const isWarning = kind === "leaderless" || kind === "foreignGroup";
  return isWarning ? "warn" : "info";
}

/**
 * Converts a replica notice to the fields of a log line.
 *
 * @param notice The notice.
 * @returns Its fields; lists are joined with commas.
 */
export function describeNotice(notice: consensus.ReplicaNotice): NoticeFields {
  switch (notice.kind) {
    case "opened":
      return {
        id: notice.id,
        incarnation: notice.identity.incarnation,
        isAdmitted: notice.identity.isAdmitted,
        groupId: notice.identity.groupId,
        term: notice.term,
        votedFor: notice.votedFor,
        ...describeVoterSet(notice.set),
        snapshotIndex: notice.snapshotIndex,
        lastIndex: notice.lastIndex,
        lastTerm: notice.lastTerm,
        tornBytes: notice.tornBytes,
      };
    case "foreignGroup": {
      const { from, groupId, foreignGroupId } = notice;
      return { from, groupId, foreignGroupId };
    }
    case "admitted": {
      const { incarnation, term, index, openedMs } = notice;
      return { incarnation, term, index, openedMs };
    }
    case "followerAdmitted": {
      const { id, incarnation, term, index, fedMs } = notice;
      return { id, incarnation, term, index, fedMs };
    }
    case "role":
      return { role: notice.role, term: notice.term, leader: notice.leader };
    case "authority":
      return {
        hasAuthority: notice.hasAuthority,
        term: notice.term,
        lastIndex: notice.lastIndex,
        silent: notice.silent.map(describeSilentVoter).join(","),
      };
    case "voters":
      return { term: notice.term, ...describeVoterSet(notice.set) };
    case "feeding":
      return {
        term: notice.term,
        lastIndex: notice.lastIndex,
        followers: notice.followers.map(describeFollower).join(","),
      };
    case "leaderless":
      return {
        role: notice.role,
        term: notice.term,
        sinceMs: notice.sinceMs,
        isAdmitted: notice.isAdmitted,
        lastIndex: notice.lastIndex,
        lastTerm: notice.lastTerm,
        commitIndex: notice.commitIndex,
        ...describeVoterSet(notice.set),
        asked: notice.asked.map(describePolledVoter).join(","),
        writingMs: notice.writingMs,
      };
    case "voteRefused":
      return { by: notice.by, term: notice.term, reason: notice.reason };
    case "snapshotSent": {
      const { to, index, parts, tookMs } = notice;
      return { to, index, parts, tookMs };
    }
    case "snapshotTaken": {
      const { index, parts, tookMs } = notice;
      return { index, parts, tookMs };
    }
  }
}

function describeVoterSet(
  { voters, index, isCommitted }: consensus.VoterSet,
): NoticeFields {
  return {
    voters: voters.join(","),
    setIndex: index,
    isSetCommitted: isCommitted,
  };
}

function describeSilentVoter(voter: consensus.SilentVoter): string {
  const { id, silentMs, isAdmitted, lag } = voter;
  const silence = Number.isFinite(silentMs) ? `${silentMs}ms` : "never";
  return `${id}:${silence}:lag${lag}${isAdmitted ? "" : ":notAdmitted"}`;
}

function describeFollower(follower: consensus.UnadmittedFollower): string {
  const { kind, id, isVoter } = follower;
  const name = isVoter ? id : `${id}:spare`;
  switch (kind) {
    case "unheard":
      return `${name}:unheard${follower.sinceMs}ms`;
    case "fed": {
      const { lag, confirmed, silentMs, fedMs } = follower;
      return `${name}:lag${lag}:confirmed${confirmed}:silent${silentMs}ms:fed${fedMs}ms`;
    }
  }
}

function describePolledVoter({ id, answer }: consensus.PolledVoter): string {
  switch (answer.kind) {
    case "none":
      return `${id}:none`;
    case "granted":
      return `${id}:${
        describeVoteKind(answer.isPreVote)
      }Granted:${answer.ageMs}ms`;
    case "refused": {
      const { isPreVote, reason = "noReason", ageMs } = answer;
      return `${id}:${describeVoteKind(isPreVote)}Refused:${reason}:${ageMs}ms`;
    }
  }
}

function describeVoteKind(isPreVote: boolean): string {
  return isPreVote ? "preVote" : "vote";
}
