import * as rpc from "../rpc/mod.ts";

/** Gives access to other boxes by id. */
export interface Peers {
  get(id: string): rpc.Peer;
}

/** Pool of connections to other boxes: one for each box, created on demand. */
export class PeerPool implements Peers {
  readonly #port: number;
  readonly #clients = new Map<string, rpc.RpcClient>();

  /** @param port Port for connections between boxes, the same on every box. */
  constructor(port: number) {
    this.#port = port;
  }

  /** Returns the client for a box; its id is the IP address to connect to. */
  get(id: string): rpc.RpcClient {
    const known = this.#clients.get(id);
    if (known !== undefined) return known;
    const client = new rpc.RpcClient({ address: id, port: this.#port });
    this.#clients.set(id, client);
    return client;
  }

  /** Closes all connections. */
  close(): void {
    for (const client of this.#clients.values()) client.close();
  }
}
