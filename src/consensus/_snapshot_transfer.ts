import type * as clocks from "../clock/mod.ts";
import type * as messages from "./message.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";

/** Parts on their way to a replica at first, and after some were lost. */
const WINDOW = 4;
/** Parts on their way at most: some 2 MB. */
const MOST_WINDOW = 16;
/** Parts by which more are on their way after each that came. */
const WINDOW_GROWTH = 1;
/** Time for which a snapshot is kept where another replica leads meanwhile, in ms. */
const KEPT_MS = 20_000;
/** Snapshots of which a replica keeps the parts that came. */
const KEPT_SNAPSHOTS = 2;
/** Silence after which the parts under way are sent again, in ms. */
const RESEND_MS = 600;

/** A snapshot on its way to one replica. */
interface Transfer {
  readonly id: string;
  readonly snapshot: messages.Snapshot;
  /** Parts that the replica has confirmed. */
  confirmed: number;
  sent: number;
  movedAtMs: number;
  /** Parts that may be on their way. */
  window: number;
  /** Whether this replica leads no more, or did not when it last looked. */
  isResting: boolean;
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
  #count = 0;

  constructor(options: SnapshotSenderOptions) {
    this.#options = options;
  }

  /** Begins to send a snapshot, or goes on with one that is under way. */
  send(to: string, term: number): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const known = this.#transfers.get(to);
    if (known !== undefined) {
      if (!known.isResting && nowMs - known.movedAtMs < RESEND_MS) return;
      known.sent = known.confirmed;
      known.movedAtMs = nowMs;
      known.window = WINDOW;
      known.isResting = false;
      return this.#sendParts(to, term, known);
    }
    this.#count += 1;
    const snapshot = this.#options.createSnapshot();
    const transfer: Transfer = {
      id: `${term}.${snapshot.index}.${this.#count}`,
      snapshot,
      confirmed: 0,
      sent: 0,
      movedAtMs: nowMs,
      window: WINDOW,
      isResting: false,
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
  takeReply(
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
    const hasLost = reply.received < transfer.confirmed;
    transfer.confirmed = reply.received;
    transfer.sent = hasLost
      ? reply.received
      : Math.max(transfer.sent, reply.received);
    transfer.movedAtMs = this.#options.clock.getMonotonicMs();
    const grown = hasLost ? WINDOW : transfer.window + WINDOW_GROWTH;
    transfer.window = Math.min(MOST_WINDOW, grown);
    this.#sendParts(from, term, transfer);
  }

  /**
   * Sends no more while another replica leads. What was begun is gone on with where
   * this one leads again soon: begun anew with each reign, a snapshot never came
   * whole on boxes where a reign took 0.5 to 2 s.
   */
  drop(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    for (const [to, transfer] of this.#transfers) {
      transfer.isResting = true;
      if (nowMs - transfer.movedAtMs < KEPT_MS) continue;
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
interface Collected {
  received: number;
  readonly values: unknown[];
}

/** Collects the parts of snapshots that leaders send. */
export class SnapshotReceiver {
  /** By the transfers' names; the one whose part came last stands last. */
  readonly #collected = new Map<string, Collected>();

  /**
   * Takes a part.
   *
   * @param message The part.
   * @returns The reply, and the snapshot once it is whole.
   */
  take(message: messages.SnapshotPart): {
    readonly reply: messages.SnapshotPartReply;
    readonly whole: messages.SnapshotRequest | undefined;
  } {
    const { transfer, part, parts, head, term, sentAtMs } = message;
    const collected = this.#find(transfer);
    const isNext = part === collected.received;
    if (isNext) {
      collected.received += 1;
      collected.values.push(...message.values);
    }
    const { received } = collected;
    const reply: messages.SnapshotPartReply = {
      kind: "snapshotPartReply",
      transfer,
      received,
    };
    const isWhole = isNext && received >= parts;
    if (!isWhole) return { reply, whole: undefined };
    const snapshot: messages.Snapshot = { ...head, state: collected.values };
    this.#collected.clear();
    this.#collected.set(transfer, { received, values: [] });
    const whole: messages.SnapshotRequest = {
      kind: "snapshotRequest",
      term,
      snapshot,
      sentAtMs,
    };
    return { reply, whole };
  }

  /** What came of a transfer; of others only the newest are kept. */
  #find(transfer: string): Collected {
    const known = this.#collected.get(transfer) ?? { received: 0, values: [] };
    this.#collected.delete(transfer);
    this.#collected.set(transfer, known);
    for (const name of [...this.#collected.keys()].slice(0, -KEPT_SNAPSHOTS)) {
      this.#collected.delete(name);
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
  drop(): void {
    this.#sender.drop();
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
  take(
    from: string,
    message: messages.DriverMessage,
    term: number,
  ): messages.Message | undefined {
    switch (message.kind) {
      case "snapshotPart": {
        const { reply, whole } = this.#receiver.take(message);
        this.#options.send(from, reply);
        return whole;
      }
      case "snapshotPartReply":
        this.#sender.takeReply(from, message, term);
        return undefined;
      default:
        return message;
    }
  }
}
