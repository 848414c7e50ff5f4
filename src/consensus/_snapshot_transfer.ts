import type * as clocks from "../clock/mod.ts";
import type * as messages from "./message.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";

/** Parts on their way to a replica at first, and after some were lost. */
const INITIAL_WINDOW = 4;
/** Parts on their way at most: some 2 MB. */
const MAX_WINDOW = 16;
/** Parts by which more are on their way after each that came. */
const WINDOW_GROWTH = 1;
/** Time for which a snapshot is kept where another replica leads meanwhile, in ms. */
const PAUSED_EXPIRY_MS = 20_000;
/** Snapshots of which a replica keeps the parts that came. */
const MAX_PARTIAL_SNAPSHOTS = 2;
/** Silence after which the parts under way are sent again, in ms. */
const RESEND_MS = 600;

/** A snapshot on its way to one replica. */
interface Transfer {
  readonly id: string;
  readonly snapshot: messages.Snapshot;
  /** Parts that the replica has confirmed. */
  confirmed: number;
  sent: number;
  progressAtMs: number;
  /** Parts that may be on their way. */
  window: number;
  /** Whether this replica leads no more, or did not when it last looked. */
  isPaused: boolean;
}

/** What a sender needs. */
export interface SnapshotSenderOptions {
  readonly clock: clocks.Clock;
  readonly send: (to: string, message: messages.DriverMessage) => void;
  /** Makes a snapshot of the present state. */
  readonly createSnapshot: () => messages.Snapshot;
  /** Told of each snapshot that begins to be sent. */
  readonly onNotice?: notices.NoticeHandler | undefined;
}

/**
 * Sends snapshots in parts, so that no message grows with the state, and only
 * so many parts at a time that a slow replica is not flooded.
 */
export class SnapshotSender {
  readonly #options: SnapshotSenderOptions;
  readonly #transfers = new Map<string, Transfer>();
  /** Last index of the newest snapshot that each replica was sent. */
  readonly #sentIndexes = new Map<string, number>();
  #transferCount = 0;

  constructor(options: SnapshotSenderOptions) {
    this.#options = options;
  }

  /** Begins to send a snapshot, or goes on with one that is under way. */
  send(to: string, term: number): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const known = this.#transfers.get(to);
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

  /** Sends what follows the parts that a replica has. */
  handleReply(
    from: string,
    reply: messages.SnapshotPartReply,
    term: number,
  ): void {
    const transfer = this.#transfers.get(from);
    if (transfer?.id !== reply.transfer) return;
    if (reply.received >= countMessages(transfer.snapshot)) {
      this.#transfers.delete(from);
      return;
    }
    if (reply.received === transfer.confirmed) return;
    // A replica that was started again holds none of what its former process
    // confirmed; without going back its transfer never ends.
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
   * Sends no more while another replica leads. What was begun is gone on with where
   * this one leads again soon: begun anew with each reign, a snapshot never came
   * whole on boxes where a reign took 0.5 to 2 s.
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

  /** Last index of the newest snapshot that a replica was sent; 0 for none. */
  getSentIndex(to: string): number {
    return this.#sentIndexes.get(to) ?? 0;
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

/** A snapshot without parts still takes a message. */
function countMessages(snapshot: messages.Snapshot): number {
  return Math.max(1, snapshot.state.length);
}

/** What came of one snapshot. */
interface PartialSnapshot {
  received: number;
  readonly values: unknown[];
}

/** Collects the parts of snapshots that leaders send. */
export class SnapshotReceiver {
  /** By the transfers' names; the one whose part came last stands last. */
  readonly #partials = new Map<string, PartialSnapshot>();

  /**
   * Takes a part.
   *
   * @param message The part.
   * @returns The reply, and the snapshot once it is whole.
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

  /** What came of a transfer; of others only the newest are kept. */
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

/** Sends and collects the snapshots of one replica. */
export class SnapshotExchange {
  readonly #options: SnapshotSenderOptions;
  readonly #sender: SnapshotSender;
  readonly #receiver = new SnapshotReceiver();

  constructor(options: SnapshotSenderOptions) {
    this.#options = options;
    this.#sender = new SnapshotSender(options);
  }

  /** Begins to send a snapshot, or goes on with one that is under way. */
  send(to: string, term: number): void {
    this.#sender.send(to, term);
  }

  /** Sends no more while another replica leads. */
  pause(): void {
    this.#sender.pause();
  }

  /**
   * Finds the index after which followers need entries: what they hold, or get
   * with a snapshot. Those that count are among them: one that was away for 1.7 s
   * was sent 15 snapshots in 20 s where its entries were cut away (fake clock).
   *
   * @param state The replica.
   * @returns The lowest such index; infinite for a replica that does not lead.
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
   * Takes what concerns snapshots in parts.
   *
   * @param from Who sent the message.
   * @param message Any message.
   * @param term The term of this replica.
   * @returns The message for the replica itself, if it is one or completes one.
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
