import * as rpc from "../rpc/mod.ts";

/** Other boxes by their ids. */
export interface Peers {
  get(id: string): rpc.Peer;
}

/** Connections to other boxes, one a box, made on demand. */
export class PeerPool implements Peers {
  readonly #port: number;
  readonly #clients = new Map<string, rpc.RpcClient>();

  /** @param port Peer port, the same on every box. */
  constructor(port: number) {
    this.#port = port;
  }

  /** Gives the client of a box by its id, which is its address. */
  get(id: string): rpc.RpcClient {
    const known = this.#clients.get(id);
    if (known !== undefined) return known;
    const client = new rpc.RpcClient({ address: id, port: this.#port });
    this.#clients.set(id, client);
    return client;
  }

  close(): void {
    for (const client of this.#clients.values()) client.close();
  }
}
