import * as httpClient from "../../src/http_client/mod.ts";
import * as sleeps from "../stand_ins/sleep.ts";
import * as layouts from "./fleet_layout.ts";

/** Host of all routes in the configuration. */
export const ROUTE_HOST = "a.example";

const CALL_TIMEOUT_MS = 2_500;
const RETRY_DELAY_MS = 200;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** A request that any entry box can serve; `kind` selects the port. */
export interface EntryRequest {
  readonly kind: "caller" | "control";
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly json?: unknown;
}

/** Sends requests to the entry boxes in rotation, on fresh connections. */
export class SoakClient {
  readonly #entries: readonly layouts.SoakBox[];
  #requestCount = 0;
  #isStopped = false;

  constructor(entries: readonly layouts.SoakBox[]) {
    this.#entries = entries;
  }

  /** Ends retries, so that none reaches a later fleet at the same addresses. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Sends a request to the next entry box; undefined without a full answer. */
  async send(
    request: EntryRequest,
  ): Promise<httpClient.JsonResponse | undefined> {
    const entry = this.#entries[this.#requestCount % this.#entries.length];
    this.#requestCount += 1;
    return entry === undefined ? undefined : await this.sendTo(entry, request);
  }

  /** Sends a request to an entry box; undefined without a full answer. */
  async sendTo(
    entry: layouts.SoakBox,
    request: EntryRequest,
  ): Promise<httpClient.JsonResponse | undefined> {
    const answer = await httpClient.sendJson({
      baseUrl: `http://${entry.address}:${layouts.PORTS[request.kind]}`,
      method: request.method,
      path: request.path,
      headers: { host: ROUTE_HOST, ...request.headers },
      ...(request.json === undefined ? {} : { json: request.json }),
      timeoutMs: CALL_TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      isFreshConnection: true,
    });
    return answer.kind === "ok" ? answer.value : undefined;
  }

  /**
   * Retries a request on one entry box after another until an expected status.
   *
   * @param request An idempotent request.
   * @param deadlineMs Wall-clock time after which no retry begins, in ms.
   * @param statuses Statuses that end the retries.
   * @returns The answer, or undefined after the deadline or `stop`.
   */
  async sendUntil(
    request: EntryRequest,
    deadlineMs: number,
    statuses: readonly number[],
  ): Promise<httpClient.JsonResponse | undefined> {
    while (!this.#isStopped && Date.now() < deadlineMs) {
      const answer = await this.send(request);
      if (answer !== undefined && statuses.includes(answer.status)) {
        return answer;
      }
      await sleeps.sleep(RETRY_DELAY_MS);
    }
    return undefined;
  }
}
