import type * as messages from "./message.ts";

/** What a fake network does to messages; chances out of 1,000. */
export interface NetworkOptions {
  readonly lossChance: number;
  readonly repeatChance: number;
}

/** A message between two replicas. */
export interface Letter {
  readonly from: string;
  readonly to: string;
  readonly message: messages.Message;
}

interface Flight extends Letter {
  readonly dueMs: number;
}

const SHORT_DELAY_MS = 8;
const LONG_DELAY_MS = 200;
const LONG_DELAY_CHANCE = 100;
const PER_MILLE = 1_000;

/** A network that loses, repeats, delays and reorders messages. */
export class FakeNetwork {
  readonly #options: NetworkOptions;
  readonly #draw: (max: number) => number;
  #flights: readonly Flight[] = [];
  #cut: ReadonlySet<string> = new Set();

  /** @param draw Gives a whole number from 0 to its argument. */
  constructor(options: NetworkOptions, draw: (max: number) => number) {
    this.#options = options;
    this.#draw = draw;
  }

  /** Cuts the links between one replica and others; heals all if any are cut. */
  changeCut(
    victim: string | undefined,
    peers: readonly (string | undefined)[],
  ): void {
    const isCut = this.#cut.size > 0;
    const links = peers.flatMap((
      peer,
    ) => [`${victim}>${peer}`, `${peer}>${victim}`]);
    this.#cut = isCut ? new Set() : new Set(links);
  }

  send(letter: Letter, nowMs: number): void {
    if (this.#cut.has(`${letter.from}>${letter.to}`)) return;
    if (this.#happens(this.#options.lossChance)) return;
    const copies = this.#happens(this.#options.repeatChance) ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const maxMs = this.#happens(LONG_DELAY_CHANCE)
        ? LONG_DELAY_MS
        : SHORT_DELAY_MS;
      this.#flights = [...this.#flights, {
        ...letter,
        dueMs: nowMs + this.#draw(maxMs),
      }];
    }
  }

  /** Takes the messages that arrive by now. */
  takeDue(nowMs: number): readonly Letter[] {
    const due = this.#flights.filter((flight) => flight.dueMs <= nowMs);
    this.#flights = this.#flights.filter((flight) => flight.dueMs > nowMs);
    return due;
  }

  #happens(chance: number): boolean {
    return this.#draw(PER_MILLE - 1) < chance;
  }
}
