import * as net from "node:net";
import * as jsonRpc from "json-rpc-2.0";
import * as framing from "./_framing.ts";

/** Answers a method; a returned promise is waited for. */
export type RpcHandler = (params: never) => unknown;

/** Where methods are registered. */
export interface MethodRegistry {
  add(method: string, handler: RpcHandler): void;
}

/** Answers other boxes by JSON-RPC over TCP. */
export class RpcServer implements MethodRegistry {
  readonly #server: net.Server;
  readonly #rpc = new jsonRpc.JSONRPCServer({ errorListener: () => {} });
  #sockets: ReadonlySet<net.Socket> = new Set();

  constructor() {
    this.#server = net.createServer((socket) => this.#acceptSocket(socket));
    this.add(framing.PING_METHOD, () => true);
  }

  /** Registers the handler of a method. */
  add(method: string, handler: RpcHandler): void {
    this.#rpc.addMethod(
      method,
      handler as (params: unknown) => unknown as never,
    );
  }

  /** Starts to listen. */
  listen(address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, address, () => resolve());
    });
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #acceptSocket(socket: net.Socket): void {
    socket.setNoDelay(true);
    this.#sockets = new Set([...this.#sockets, socket]);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      this.#sockets = new Set(
        [...this.#sockets].filter((other) => other !== socket),
      );
    });
    framing.readMessages(
      socket,
      (message) => void this.#answerMessage(socket, message),
    );
  }

  async #answerMessage(socket: net.Socket, message: unknown): Promise<void> {
    const answer = await this.#rpc.receive(message as jsonRpc.JSONRPCRequest);
    if (answer !== null) framing.writeMessage(socket, answer);
  }
}
