import type * as messages from "./message.ts";
import type * as notices from "./replica_notice.ts";

/** What to do with a message, by the groups of its sender and its receiver. */
export type GroupVerdict =
  | { readonly kind: "accept" }
  /** The receiver has no identity yet and takes that of its leader. */
  | { readonly kind: "join"; readonly groupId: string }
  /** The sender belongs to another group, whose log is unrelated. */
  | { readonly kind: "foreign" };

const ACCEPT: GroupVerdict = { kind: "accept" };

/** A message as received, with what it says of its sender's group. */
export interface ReceivedMessage {
  readonly from: string;
  readonly message: messages.DriverMessage;
  /** Identity of the sender's group, if it told one. */
  readonly groupId: string | undefined;
}

/** Keeps the messages of other groups out of a replica. */
export class GroupGate {
  readonly #onNotice: notices.NoticeHandler | undefined;
  /** Senders of other groups that were reported. */
  readonly #reported = new Set<string>();

  constructor(onNotice: notices.NoticeHandler | undefined) {
    this.#onNotice = onNotice;
  }

  /**
   * Checks whether a message belongs to the receiver's group. Either side may lack
   * an identity: replicas with an empty disk, and groups founded without one.
   *
   * @param own Identity of the receiver's group, if known.
   * @param received The message.
   */
  check(own: string | undefined, received: ReceivedMessage): GroupVerdict {
    const { groupId, message } = received;
    if (groupId === undefined || groupId === own) return ACCEPT;
    if (own === undefined) {
      return isFromLeader(message) ? { kind: "join", groupId } : ACCEPT;
    }
    this.#reportForeign(own, received.from, groupId);
    return { kind: "foreign" };
  }

  #reportForeign(own: string, from: string, foreignGroupId: string): void {
    if (this.#reported.has(from)) return;
    this.#reported.add(from);
    this.#onNotice?.({
      kind: "foreignGroup",
      from,
      groupId: own,
      foreignGroupId,
    });
  }
}

function isFromLeader({ kind }: messages.DriverMessage): boolean {
  switch (kind) {
    case "appendRequest":
    case "snapshotRequest":
    case "snapshotPart":
      return true;
    case "voteRequest":
    case "voteReply":
    case "appendReply":
    case "transferRequest":
    case "renewRequest":
    case "snapshotPartReply":
      return false;
  }
}
