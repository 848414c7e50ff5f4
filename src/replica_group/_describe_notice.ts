import type * as consensus from "../consensus/mod.ts";

/** Fields of a log line. */
export type NoticeFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/**
 * Gives a notice of a replica as fields of a log line.
 *
 * @param notice The notice.
 * @returns Its fields; lists as texts.
 */
export function describeNotice(notice: consensus.ReplicaNotice): NoticeFields {
  switch (notice.kind) {
    case "opened":
      return {
        id: notice.id,
        incarnation: notice.identity.incarnation,
        isAdmitted: notice.identity.isAdmitted,
        term: notice.term,
        votedFor: notice.votedFor,
        ...describeSet(notice.set),
        snapshotIndex: notice.snapshotIndex,
        lastIndex: notice.lastIndex,
        lastTerm: notice.lastTerm,
        tornBytes: notice.tornBytes,
      };
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
        silent: notice.silent.map(describeVoter).join(","),
      };
    case "voters":
      return { term: notice.term, voters: notice.voters.join(",") };
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

function describeSet(
  { voters, index, isCommitted }: consensus.VoterSet,
): NoticeFields {
  return {
    voters: voters.join(","),
    setIndex: index,
    isSetCommitted: isCommitted,
  };
}

function describeVoter(voter: consensus.SilentVoter): string {
  const { id, silentMs, isAdmitted, lag } = voter;
  const shown = Number.isFinite(silentMs) ? `${silentMs}ms` : "never";
  return `${id}:${shown}:lag${lag}${isAdmitted ? "" : ":notAdmitted"}`;
}
