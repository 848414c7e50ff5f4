import * as httpClient from "../../src/http_client/mod.ts";

/** Address of a box that serves callers and trainers. */
export interface ServiceAddress {
  readonly box: string;
  readonly address: string;
  readonly port: number;
}

const REFRESH_TIMEOUT_MS = 1_000;
const REFRESH_RETRY_DELAY_MS = 100;
/** Time for which a box is passed over after a failure, in ms. */
const AVOIDANCE_MS = 2_000;

/**
 * Chooses box addresses for a client, in turn. The list comes from the boxes
 * themselves and is fetched again when it expires.
 */
export class AddressBook {
  readonly #seeds: readonly ServiceAddress[];
  #addresses: readonly ServiceAddress[] = [];
  #expiresAtMs = 0;
  #nextIndex: number;
  #avoidedUntilMs: ReadonlyMap<string, number> = new Map();
  #pendingRefresh: Promise<void> | undefined;

  /**
   * @param seeds Addresses from the client's settings, for the first request.
   * @param startIndex Index of the first address to use; spreads the clients.
   */
  constructor(seeds: readonly ServiceAddress[], startIndex: number) {
    this.#seeds = seeds;
    this.#nextIndex = startIndex;
  }

  /**
   * Returns the next address, refreshing the list first if it has expired.
   * Boxes that failed recently are used only if no other is left.
   */
  async pick(): Promise<ServiceAddress> {
    if (Date.now() >= this.#expiresAtMs) {
      this.#pendingRefresh ??= this.#refresh().finally(() => {
        this.#pendingRefresh = undefined;
      });
      await this.#pendingRefresh;
    }
    const usable = this.#addresses.filter((candidate) =>
      (this.#avoidedUntilMs.get(candidate.box) ?? 0) < Date.now()
    );
    const pool = usable.length > 0 ? usable : this.#addresses;
    this.#nextIndex += 1;
    return pool[this.#nextIndex % pool.length] as ServiceAddress;
  }

  /** Passes over a box for a while, after a failed request. */
  avoid(box: string): void {
    this.#avoidedUntilMs = new Map([
      ...this.#avoidedUntilMs,
      [box, Date.now() + AVOIDANCE_MS] as const,
    ]);
  }

  async #refresh(): Promise<void> {
    for (;;) {
      const candidates = [...this.#addresses, ...this.#seeds];
      this.#nextIndex += 1;
      const source =
        candidates[this.#nextIndex % candidates.length] as ServiceAddress;
      const sentMs = Date.now();
      const answer = await httpClient.sendJson({
        baseUrl: `http://${source.address}:${source.port}`,
        method: "GET",
        path: "/v1/addresses",
        timeoutMs: REFRESH_TIMEOUT_MS,
      });
      if (answer.kind === "ok" && answer.value.status === 200) {
        const listing = answer.value.json as {
          readonly addresses: readonly ServiceAddress[];
          readonly keepMs: number;
        };
        if (listing.addresses.length > 0) {
          this.#addresses = listing.addresses;
          this.#expiresAtMs = sentMs + listing.keepMs;
          return;
        }
      }
      await new Promise((resolve) =>
        setTimeout(resolve, REFRESH_RETRY_DELAY_MS)
      );
    }
  }
}
