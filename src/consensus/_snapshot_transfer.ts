import type * as clocks from "../clock/mod.ts";
import type * as messages from "./message.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";

/** Initial window of unconfirmed parts, also used after a loss. */
const INITIAL_WINDOW = 4;
/** Largest window of unconfirmed parts; some 2 MB. */
const MAX_WINDOW = 16;
/** Parts by which the window grows with each confirmation. */
const WINDOW_GROWTH = 1;
/** Time without progress after which a paused transfer is dropped, in ms. */
const PAUSED_EXPIRY_MS = 20_000;
/** Most incomplete snapshots whose parts a receiver keeps. */
const MAX_PARTIAL_SNAPSHOTS = 2;
/** Time without progress after which unconfirmed parts are sent again, in ms. */
const RESEND_MS = 600;

/** A transfer of a snapshot to one replica. */
interface Transfer {
  readonly id: string;
  readonly snapshot: messages.Snapshot;
  /** Number of parts that the replica has confirmed. */
  confirmed: number;
  sent: number;
  progressAtMs: number;
  /** Most unconfirmed parts. */
  window: number;
  /** Whether the transfer is paused because this replica does not lead. */
  isPaused: boolean;
}

/** Options of a snapshot sender. */
export interface SnapshotSenderOptions {
  readonly clock: clocks.Clock;
  readonly send: (to: string, message: messages.DriverMessage) => void;
  /** Creates a snapshot of the current state. */
  readonly createSnapshot: () => messages.Snapshot;
  /** Called when the transfer of a snapshot starts. */
  readonly onNotice?: notices.NoticeHandler | undefined;
  /** Called when a replica has confirmed further parts. */
  readonly onConfirmed?: (event: replicaStates.SnapshotConfirmed) => void;
}

/**
 * Sends snapshots in parts, which bounds the size of a message, with a sliding
 * window per replica, which keeps a slow replica from being flooded.
 */
export class SnapshotSender {
  readonly #options: SnapshotSenderOptions;
  readonly #transfers = new Map<string, Transfer>();
  /** Last index of the newest snapshot sent to each replica. */
  readonly #sentIndexes = new Map<string, number>();
  /** When each replica last confirmed a whole snapshot, in monotonic ms. */
  readonly #wholeAtMs = new Map<string, number>();
  #transferCount = 0;

  constructor(options: SnapshotSenderOptions) {
    this.#options = options;
  }

  /**
   * Starts a transfer to a replica; resumes one that is paused or has stalled. Does
   * nothing while the replica may still install the last snapshot: replies that it
   * sent before may be read only now.
   */
  send(to: string, term: number): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const known = this.#transfers.get(to);
    const wholeAtMs = this.#wholeAtMs.get(to) ?? Number.NEGATIVE_INFINITY;
    if (known === undefined && nowMs - wholeAtMs < RESEND_MS) return;
    if (known !== undefined) {
      if (!known.isPaused && nowMs - known.progressAtMs < RESEND_MS) return;
      known.sent = known.confirmed;
      known.progressAtMs = nowMs;
      known.window = INITIAL_WINDOW;
      known.isPaused = false;
      return this.#sendParts(to, term, known);
    }
    this.#transferCount += 1;
    const snapshot = this.#options.createSnapshot();
    const transfer: Transfer = {
      id: `${term}.${snapshot.index}.${this.#transferCount}`,
      snapshot,
      confirmed: 0,
      sent: 0,
      progressAtMs: nowMs,
      window: INITIAL_WINDOW,
      isPaused: false,
    };
    this.#transfers.set(to, transfer);
    this.#sentIndexes.set(to, snapshot.index);
    this.#options.onNotice?.({
      kind: "snapshotSent",
      to,
      index: snapshot.index,
      parts: snapshot.state.length,
      tookMs: Math.round(this.#options.clock.getMonotonicMs() - nowMs),
    });
    this.#sendParts(to, term, transfer);
  }

  /** Sends the next parts after a confirmation; ends a completed transfer. */
  handleReply(
    from: string,
    reply: messages.SnapshotPartReply,
    term: number,
  ): void {
    const transfer = this.#transfers.get(from);
    if (transfer?.id !== reply.transfer) return;
    if (reply.received >= countMessages(transfer.snapshot)) {
      this.#transfers.delete(from);
      this.#wholeAtMs.set(from, this.#options.clock.getMonotonicMs());
      return this.#reportConfirmed(from, transfer.snapshot.index);
    }
    if (reply.received === transfer.confirmed) return;
    this.#reportConfirmed(from, undefined);
    // A restarted replica has lost the parts that it confirmed before; the transfer
    // continues from the parts that it holds now.
    const hasRestarted = reply.received < transfer.confirmed;
    transfer.confirmed = reply.received;
    transfer.sent = hasRestarted
      ? reply.received
      : Math.max(transfer.sent, reply.received);
    transfer.progressAtMs = this.#options.clock.getMonotonicMs();
    const grown = hasRestarted
      ? INITIAL_WINDOW
      : transfer.window + WINDOW_GROWTH;
    transfer.window = Math.min(MAX_WINDOW, grown);
    this.#sendParts(from, term, transfer);
  }

  /**
   * Pauses all transfers when this replica does not lead, and drops those without
   * recent progress. `send` resumes the others, so that a large snapshot can
   * complete although leadership changes often.
   */
  pause(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const [to, transfer] of this.#transfers) {
      transfer.isPaused = true;
      if (nowMs - transfer.progressAtMs < PAUSED_EXPIRY_MS) continue;
      this.#transfers.delete(to);
      this.#sentIndexes.delete(to);
    }
  }

  /**
   * Returns the last index of the newest snapshot sent to a replica; 0 for
   * none.
   */
  getSentIndex(to: string): number {
    return this.#sentIndexes.get(to) ?? 0;
  }

  #reportConfirmed(from: string, wholeIndex: number | undefined): void {
    const kind = "snapshotConfirmed";
    this.#options.onConfirmed?.({ kind, from, wholeIndex });
  }

  #sendParts(to: string, term: number, transfer: Transfer): void {
    const { snapshot, id } = transfer;
    const { index, term: snapshotTerm, voters, state } = snapshot;
    const end = Math.min(
      countMessages(snapshot),
      transfer.confirmed + transfer.window,
    );
    while (transfer.sent < end) {
      const part = transfer.sent;
      transfer.sent += 1;
      this.#options.send(to, {
        kind: "snapshotPart",
        term,
        transfer: id,
        part,
        parts: state.length,
        values: state.slice(part, part + 1),
        head: { index, term: snapshotTerm, voters },
        sentAtMs: this.#options.clock.getMonotonicMs(),
      });
    }
  }
}

/** Counts the messages of a snapshot; one without parts still takes a message. */
function countMessages(snapshot: messages.Snapshot): number {
  return Math.max(1, snapshot.state.length);
}

/** The parts of an incomplete snapshot. */
interface PartialSnapshot {
  received: number;
  readonly values: unknown[];
}

/** Collects the parts of snapshots that leaders send. */
export class SnapshotReceiver {
  /** Incomplete snapshots by transfer id, least recently used first. */
  readonly #partials = new Map<string, PartialSnapshot>();

  /**
   * Adds a part; parts out of order are dropped and sent again.
   *
   * @param message The part.
   * @returns The reply, and the snapshot request with the last part.
   */
  addPart(message: messages.SnapshotPart): {
    readonly reply: messages.SnapshotPartReply;
    readonly whole: messages.SnapshotRequest | undefined;
  } {
    const { transfer, part, parts, head, term, sentAtMs } = message;
    const partial = this.#findPartial(transfer);
    const isNext = part === partial.received;
    if (isNext) {
      partial.received += 1;
      partial.values.push(...message.values);
    }
    const { received } = partial;
    const reply: messages.SnapshotPartReply = {
      kind: "snapshotPartReply",
      transfer,
      received,
    };
    const isWhole = isNext && received >= parts;
    if (!isWhole) return { reply, whole: undefined };
    const snapshot: messages.Snapshot = { ...head, state: partial.values };
    this.#partials.clear();
    this.#partials.set(transfer, { received, values: [] });
    const whole: messages.SnapshotRequest = {
      kind: "snapshotRequest",
      term,
      snapshot,
      sentAtMs,
    };
    return { reply, whole };
  }

  /**
   * Finds or creates the parts of a transfer and evicts the least recently
   * used.
   */
  #findPartial(transfer: string): PartialSnapshot {
    const known = this.#partials.get(transfer) ?? { received: 0, values: [] };
    this.#partials.delete(transfer);
    this.#partials.set(transfer, known);
    for (
      const name of [...this.#partials.keys()].slice(0, -MAX_PARTIAL_SNAPSHOTS)
    ) {
      this.#partials.delete(name);
    }
    return known;
  }
}

/** Sends and receives the snapshots of one replica. */
export class SnapshotExchange {
  readonly #options: SnapshotSenderOptions;
  readonly #sender: SnapshotSender;
  readonly #receiver = new SnapshotReceiver();

  constructor(options: SnapshotSenderOptions) {
    this.#options = options;
    this.#sender = new SnapshotSender(options);
  }

  /**
   * Starts a transfer to a replica; resumes one that is paused or has stalled.
   */
  send(to: string, term: number): void {
    this.#sender.send(to, term);
  }

  /** Pauses all transfers; see `SnapshotSender.pause`. */
  pause(): void {
    this.#sender.pause();
  }

  /**
   * Finds the index after which followers still need entries, given what they hold
   * or are sent with a snapshot. Compacting entries after it could make a follower
   * need one snapshot after another.
   *
   * @param state The replica.
   * @returns The lowest such index; infinity for a replica that does not lead.
   */
  findNeededIndex(state: replicaStates.ReplicaState): number {
    if (state.role.kind !== "leader") return Number.POSITIVE_INFINITY;
    const held = [...state.role.progress]
      .map(([id, { matchIndex }]) =>
        Math.max(matchIndex, this.#sender.getSentIndex(id))
      )
      .filter((index) => index > 0);
    return Math.min(...held);
  }

  /**
   * Handles snapshot parts and their replies; passes on all other messages.
   *
   * @param from Id of the sender.
   * @param message The message.
   * @param term The current term of this replica.
   * @returns The message for the replica to handle: the given one, or the snapshot
   * request that its part completes; undefined if there is none.
   */
  handleMessage(
    from: string,
    message: messages.DriverMessage,
    term: number,
  ): messages.Message | undefined {
    switch (message.kind) {
      case "snapshotPart": {
        const { reply, whole } = this.#receiver.addPart(message);
        this.#options.send(from, reply);
        return whole;
      }
      case "snapshotPartReply":
        this.#sender.handleReply(from, message, term);
        return undefined;
      default:
        return message;
    }
  }
}
