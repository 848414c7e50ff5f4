import type * as control from "../control/mod.ts";
import * as rpc from "../rpc/mod.ts";

/** Longest wait for another box: a fetch's own wait and more, in ms. */
const CALL_TIMEOUT_MS = 30_000;

/** Calls other boxes, over connections that are kept. */
export class PeerClients {
  readonly #clients = new Map<string, rpc.RpcClient>();

  /**
   * Calls a method of another box.
   *
   * @param box The box.
   * @param method The method.
   * @param params Its parameters.
   * @returns The answer, or undefined if none came.
   */
  async call<T>(
    box: control.BoxView,
    method: string,
    params: object,
  ): Promise<T | undefined> {
    try {
      return await this.#getClient(box).call<T>(
        method,
        params,
        CALL_TIMEOUT_MS,
      );
    } catch {
      return undefined;
    }
  }

  close(): void {
    for (const client of this.#clients.values()) client.close();
  }

  #getClient(box: control.BoxView): rpc.RpcClient {
    const key = `${box.address}:${box.peerPort}`;
    const existing = this.#clients.get(key);
    if (existing !== undefined) return existing;
    const client = new rpc.RpcClient({
      address: box.address,
      port: box.peerPort,
    });
    this.#clients.set(key, client);
    return client;
  }
}
