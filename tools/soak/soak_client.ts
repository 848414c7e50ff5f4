import * as httpClient from "../../src/http_client/mod.ts";
import * as sleeps from "../stand_ins/sleep.ts";
import * as layouts from "./fleet_layout.ts";

/** Host of every route of the configuration. */
export const HOST = "a.example";

const CALL_TIMEOUT_MS = 2_500;
const RETRY_MS = 200;
const MAX_PAGE_BYTES = 4 * 1024 * 1024;

/** A call to any entry box. */
export interface EntryCall {
  readonly kind: "caller" | "control";
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly json?: unknown;
}

/** Calls entry boxes in turn, each time on a new connection. */
export class SoakClient {
  readonly #entries: readonly layouts.SoakBox[];
  #turn = 0;

  constructor(entries: readonly layouts.SoakBox[]) {
    this.#entries = entries;
  }

  /** Asks the next entry box; undefined where no whole answer came. */
  async ask(call: EntryCall): Promise<httpClient.JsonResponse | undefined> {
    const entry = this.#entries[this.#turn % this.#entries.length];
    this.#turn += 1;
    const answer = await httpClient.sendJson({
      baseUrl: `http://${entry?.address}:${layouts.PORTS[call.kind]}`,
      method: call.method,
      path: call.path,
      headers: { host: HOST, ...call.headers },
      ...(call.json === undefined ? {} : { json: call.json }),
      timeoutMs: CALL_TIMEOUT_MS,
      maxResponseBytes: MAX_PAGE_BYTES,
      isFreshConnection: true,
    });
    return answer.kind === "ok" ? answer.value : undefined;
  }

  /**
   * Asks again and again, at one box after the other.
   *
   * @param call The call, which may be repeated.
   * @param endMs Wall clock after which it is given up, in ms.
   * @param statuses Statuses that settle it.
   * @returns The answer, or undefined when the time is over.
   */
  async askUntil(
    call: EntryCall,
    endMs: number,
    statuses: readonly number[],
  ): Promise<httpClient.JsonResponse | undefined> {
    while (Date.now() < endMs) {
      const answer = await this.ask(call);
      if (answer !== undefined && statuses.includes(answer.status)) {
        return answer;
      }
      await sleeps.sleep(RETRY_MS);
    }
    return undefined;
  }
}
