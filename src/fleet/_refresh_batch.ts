import type * as protocol from "./protocol.ts";

/** The latest refresh of each box and server since the last drain. */
export class RefreshBatch {
  readonly #boxes = new Map<string, protocol.BoxRefresh>();
  readonly #servers = new Map<string, protocol.ServerRefresh>();

  addBox(refresh: protocol.BoxRefresh): void {
    this.#boxes.set(refresh.id, refresh);
  }

  addServer(refresh: protocol.ServerRefresh): void {
    this.#servers.set(refresh.id, refresh);
  }

  /** Returns the collected refreshes and clears the batch. */
  drain(): Pick<protocol.GossipMessage, "boxRefreshes" | "serverRefreshes"> {
    const boxRefreshes = [...this.#boxes.values()];
    const serverRefreshes = [...this.#servers.values()];
    this.#boxes.clear();
    this.#servers.clear();
    return { boxRefreshes, serverRefreshes };
  }
}
