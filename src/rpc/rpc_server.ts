import * as net from "node:net";
import * as jsonRpc from "json-rpc-2.0";
import * as httpServer from "../http_server/mod.ts";
import * as framing from "./_framing.ts";
import * as messageReaders from "./_message_reader.ts";

/** Handles calls of a method; a returned promise is awaited. */
export type RpcHandler = (params: never) => unknown;

/** Registers RPC methods. */
export interface MethodRegistry {
  /** Registers the handler of a method. */
  add(method: string, handler: RpcHandler): void;
}

/** Stands for a method where a connection could not be accepted. */
const ACCEPT_STEP = "accept";

/** Called with the method and the error of a handler that threw. */
export type HandlerErrorListener = (method: string, error: unknown) => void;

/** Serves JSON-RPC calls of other boxes over TCP. */
export class RpcServer implements MethodRegistry {
  readonly #server: net.Server;
  readonly #rpc = new jsonRpc.JSONRPCServer({ errorListener: () => {} });
  readonly #onHandlerError: HandlerErrorListener;
  /** Closes connections that send no message, if there are too many. */
  readonly #guard = new httpServer.ConnectionGuard(() => {});
  #sockets: ReadonlySet<net.Socket> = new Set();

  /**
   * @param onHandlerError Receives the errors of handlers; the sender of a
   * notification learns of none.
   */
  constructor(onHandlerError: HandlerErrorListener = () => {}) {
    this.#onHandlerError = onHandlerError;
    this.#server = net.createServer((socket) => this.#acceptSocket(socket));
    this.add(framing.PING_METHOD, () => true);
  }

  add(method: string, handler: RpcHandler): void {
    this.#rpc.addMethod(
      method,
      (params: unknown) => this.#runHandler(method, handler, params),
    );
  }

  async #runHandler(
    method: string,
    handler: RpcHandler,
    params: unknown,
  ): Promise<unknown> {
    try {
      return await handler(params as never);
    } catch (error) {
      this.#onHandlerError(method, error);
      throw error;
    }
  }

  /** Sets the most connections of other boxes. */
  limitConnections(maxConnections: number): void {
    this.#guard.limit({ maxConnections });
  }

  /** Listens on an address; rejects if that fails. */
  listen(address: string, port: number): Promise<void> {
    return httpServer.startListening(this.#server, {
      address,
      port,
      onAcceptError: (error) => this.#onHandlerError(ACCEPT_STEP, error),
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
    this.#guard.add(socket);
    messageReaders.readMessages(socket, (message) => {
      this.#guard.recordUse(socket);
      void this.#answerMessage(socket, message);
    });
  }

  async #answerMessage(socket: net.Socket, message: unknown): Promise<void> {
    const answer = await this.#rpc.receive(message as jsonRpc.JSONRPCRequest);
    if (answer !== null) framing.writeMessage(socket, answer);
  }
}
