import * as httpClient from "../../src/http_client/mod.ts";

/** An address of hoistscale that a client may use. */
export interface KnownAddress {
  readonly box: string;
  readonly address: string;
  readonly port: number;
}

const ASK_TIMEOUT_MS = 1_000;
const ASK_PAUSE_MS = 100;
const AVOID_MS = 2_000;

/** A client's side of "which address to use": asks, keeps, asks anew. */
export class AddressBook {
  readonly #seeds: readonly KnownAddress[];
  #known: readonly KnownAddress[] = [];
  #keptUntilMs = 0;
  #turn: number;
  #avoided: ReadonlyMap<string, number> = new Map();
  #asking: Promise<void> | undefined;

  /**
   * @param seeds Addresses to ask first, from the client's own settings.
   * @param turn Where to begin among the addresses.
   */
  constructor(seeds: readonly KnownAddress[], turn: number) {
    this.#seeds = seeds;
    this.#turn = turn;
  }

  /** Gives an address, asking for new ones where the answer has run out. */
  async pick(): Promise<KnownAddress> {
    if (Date.now() >= this.#keptUntilMs) {
      this.#asking ??= this.#ask().finally(() => {
        this.#asking = undefined;
      });
      await this.#asking;
    }
    const sound = this.#known.filter((known) =>
      (this.#avoided.get(known.box) ?? 0) < Date.now()
    );
    const pool = sound.length > 0 ? sound : this.#known;
    this.#turn += 1;
    return pool[this.#turn % pool.length] as KnownAddress;
  }

  /** Notes that an address failed. */
  avoid(box: string): void {
    this.#avoided = new Map([
      ...this.#avoided,
      [box, Date.now() + AVOID_MS] as const,
    ]);
  }

  async #ask(): Promise<void> {
    for (;;) {
      const candidates = [...this.#known, ...this.#seeds];
      this.#turn += 1;
      const asked = candidates[this.#turn % candidates.length] as KnownAddress;
      const askedMs = Date.now();
      const answer = await httpClient.sendJson({
        baseUrl: `http://${asked.address}:${asked.port}`,
        method: "GET",
        path: "/v1/addresses",
        timeoutMs: ASK_TIMEOUT_MS,
      });
      if (answer.kind === "ok" && answer.value.status === 200) {
        const told = answer.value.json as {
          readonly addresses: readonly KnownAddress[];
          readonly keepMs: number;
        };
        if (told.addresses.length > 0) {
          this.#known = told.addresses;
          this.#keptUntilMs = askedMs + told.keepMs;
          return;
        }
      }
      await new Promise((resolve) => setTimeout(resolve, ASK_PAUSE_MS));
    }
  }
}
