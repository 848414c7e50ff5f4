import type * as messages from "./message.ts";

/** Faults of a fake network, as probabilities per message out of 1,000. */
export interface NetworkOptions {
  readonly lossChance: number;
  readonly repeatChance: number;
  /** Longest delay of a message, in ms; 200 by default. */
  readonly maxDelayMs?: number;
}

/** A message with its sender and receiver. */
export interface Envelope {
  readonly from: string;
  readonly to: string;
  readonly message: messages.Message;
}

interface InFlightMessage extends Envelope {
  readonly dueMs: number;
}

const MAX_SHORT_DELAY_MS = 8;
const MAX_LONG_DELAY_MS = 200;
/** Probability of a long delay, out of 1,000. */
const LONG_DELAY_CHANCE = 100;
const PER_MILLE = 1_000;

/** A network that loses, duplicates, delays and reorders messages. */
export class FakeNetwork {
  readonly #options: NetworkOptions;
  readonly #draw: (max: number) => number;
  #inFlight: readonly InFlightMessage[] = [];
  #cutLinks: ReadonlySet<string> = new Set();

  /** @param draw Returns a random integer from 0 to its argument, inclusive. */
  constructor(options: NetworkOptions, draw: (max: number) => number) {
    this.#options = options;
    this.#draw = draw;
  }

  /**
   * Cuts the links between one replica and its peers in both directions. If any
   * links are cut already, restores all instead.
   */
  changePartition(
    victim: string | undefined,
    peers: readonly (string | undefined)[],
  ): void {
    const isPartitioned = this.#cutLinks.size > 0;
    const links = peers.flatMap((
      peer,
    ) => [`${victim}>${peer}`, `${peer}>${victim}`]);
    this.#cutLinks = isPartitioned ? new Set() : new Set(links);
  }

  send(envelope: Envelope, nowMs: number): void {
    if (this.#cutLinks.has(`${envelope.from}>${envelope.to}`)) return;
    if (this.#happens(this.#options.lossChance)) return;
    const copies = this.#happens(this.#options.repeatChance) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const maxMs = this.#happens(LONG_DELAY_CHANCE)
        ? this.#options.maxDelayMs ?? MAX_LONG_DELAY_MS
        : MAX_SHORT_DELAY_MS;
      this.#inFlight = [...this.#inFlight, {
        ...envelope,
        dueMs: nowMs + this.#draw(maxMs),
      }];
    }
  }

  /** Removes and returns the messages that are due. */
  takeDue(nowMs: number): readonly Envelope[] {
    const due = this.#inFlight.filter((message) => message.dueMs <= nowMs);
    this.#inFlight = this.#inFlight.filter((message) => message.dueMs > nowMs);
    return due;
  }

  #happens(chance: number): boolean {
    return this.#draw(PER_MILLE - 1) < chance;
  }
}
