import type * as rpc from "../rpc/mod.ts";

/** RPC handlers of one box, called without a network. */
export class FakeBox implements rpc.MethodRegistry, rpc.Peer {
  readonly #handlers = new Map<string, rpc.RpcHandler>();
  readonly called: string[] = [];
  /** Calls never answered although they are handled, by method. */
  lostReplies: Readonly<Record<string, number>> = {};
  isSilent = false;

  add(method: string, handler: rpc.RpcHandler): void {
    this.#handlers.set(method, handler);
  }

  notify(method: string, params: object): void {
    void this.call(method, params).catch(() => {});
  }

  async call<T>(method: string, params: object): Promise<T> {
    this.called.push(method);
    if (this.isSilent) throw new Error("timed out");
    const handler = this.#handlers.get(method);
    if (handler === undefined) throw new Error("method not found");
    const copy = JSON.parse(JSON.stringify(params)) as never;
    const reply = await handler(copy);
    const lost = this.lostReplies[method] ?? 0;
    if (lost > 0) {
      this.lostReplies = { ...this.lostReplies, [method]: lost - 1 };
      throw new Error("the reply was lost");
    }
    return JSON.parse(JSON.stringify(reply ?? null)) as T;
  }
}
