import * as httpClient from "../../src/http_client/mod.ts";
import * as sleeps from "../stand_ins/sleep.ts";
import * as layouts from "./fleet_layout.ts";

/** Host of every route of the configuration. */
export const ROUTE_HOST = "a.example";

const CALL_TIMEOUT_MS = 2_500;
const RETRY_DELAY_MS = 200;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** A call to any entry box. */
export interface EntryRequest {
  readonly kind: "caller" | "control";
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly json?: unknown;
}

/** Calls entry boxes in turn, each time on a new connection. */
export class SoakClient {
  readonly #entries: readonly layouts.SoakBox[];
  #requestCount = 0;

  constructor(entries: readonly layouts.SoakBox[]) {
    this.#entries = entries;
  }

  /** Asks the next entry box; undefined where no whole answer came. */
  async send(
    request: EntryRequest,
  ): Promise<httpClient.JsonResponse | undefined> {
    const entry = this.#entries[this.#requestCount % this.#entries.length];
    this.#requestCount += 1;
    const answer = await httpClient.sendJson({
      baseUrl: `http://${entry?.address}:${layouts.PORTS[request.kind]}`,
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
   * Asks again and again, at one box after the other.
   *
   * @param request The call, which may be repeated.
   * @param deadlineMs Wall clock after which it is given up, in ms.
   * @param statuses Statuses that settle it.
   * @returns The answer, or undefined when the time is over.
   */
  async sendUntil(
    request: EntryRequest,
    deadlineMs: number,
    statuses: readonly number[],
  ): Promise<httpClient.JsonResponse | undefined> {
    while (Date.now() < deadlineMs) {
      const answer = await this.send(request);
      if (answer !== undefined && statuses.includes(answer.status)) {
        return answer;
      }
      await sleeps.sleep(RETRY_DELAY_MS);
    }
    return undefined;
  }
}
