import * as net from "node:net";
import * as jsonRpc from "json-rpc-2.0";
import * as results from "../results/mod.ts";
import * as internals from "./_private.ts";

/** Where a box listens for its peers. */
export interface PeerAddress {
  readonly address: string;
  readonly port: number;
}

/** Largest number of bytes that wait for one slow peer. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 1_000;
/** Time after a notification at which the peer is asked for a sign of life, in ms. */
const PING_MS = 1_000;
/** Reason given to calls whose connection was never made. */
const NOT_CONNECTED = "the connection was not made";

/** Another box that can be called. */
export interface Peer {
  /** Sends a message that has no answer; it may be lost. */
  tell(method: string, params: object): void;
  /** Calls a method and waits for its result. */
  call<T>(method: string, params: object, timeoutMs: number): Promise<T>;
}

/** Calls another box by JSON-RPC over one TCP connection, made on demand. */
export class RpcClient implements Peer {
  readonly #peer: PeerAddress;
  readonly #pingMs: number;
  readonly #client: jsonRpc.JSONRPCClient;
  #socket: net.Socket | undefined;
  #ping: NodeJS.Timeout | undefined;
  #isClosed = false;

  /**
   * @param peer Where the box listens.
   * @param pingMs How soon a box that was told something must show that it
   * hears, in ms.
   */
  constructor(peer: PeerAddress, pingMs = PING_MS) {
    this.#peer = peer;
    this.#pingMs = pingMs;
    this.#client = new jsonRpc.JSONRPCClient((message) =>
      this.#sendMessage(message)
    );
  }

  /** Sends a message that has no answer; it may be lost. */
  tell(method: string, params: object): void {
    if (this.#isClosed) return;
    try {
      this.#client.notify(method, params);
      this.#schedulePing();
    } catch {
      // A lost message is repeated by the protocol above.
    }
  }

  /**
   * Notifications have no answer, so that a connection which went silent without
   * a reset would swallow them for ever; a ping without an answer ends it.
   */
  #schedulePing(): void {
    if (this.#ping !== undefined) return;
    this.#ping = setTimeout(() => {
      this.call(internals.PING_METHOD, {}, this.#pingMs)
        // The failed call has ended a silent connection; nothing else is owed.
        .catch(() => {})
        .finally(() => {
          this.#ping = undefined;
        });
    }, this.#pingMs);
    this.#ping.unref();
  }

  /**
   * Calls a method and waits for its result.
   *
   * @throws FailureError `connectFailed`; its outcome is `notRun` where no
   * connection was made, and unknown otherwise.
   */
  async call<T>(method: string, params: object, timeoutMs: number): Promise<T> {
    const readBefore = this.#countRead();
    try {
      return await this.#client.timeout(timeoutMs).request(method, params) as T;
    } catch (error) {
      const { message } = error as Error;
      this.#dropSilent(readBefore);
      throw new results.FailureError({
        code: "connectFailed",
        message: `Cannot call ${method} at ${this.#peer.address}: ${message}`,
        outcome: message === NOT_CONNECTED ? "notRun" : "unknown",
      });
    }
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#ping);
    this.#socket?.destroy();
  }

  #countRead(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  /** Gives up a connection that brought nothing during a whole failed call. */
  #dropSilent(readBefore: number): void {
    if (this.#countRead() === readBefore) this.#socket?.destroy();
  }

  #sendMessage(message: unknown): void {
    const socket = this.#openSocket();
    if (socket.writableLength > MAX_BUFFERED_BYTES) {
      socket.destroy();
      throw new Error("the connection is full");
    }
    internals.writeMessage(socket, message);
  }

  #openSocket(): net.Socket {
    if (this.#socket !== undefined && !this.#socket.destroyed) {
      return this.#socket;
    }
    const socket = net.connect(this.#peer.port, this.#peer.address);
    socket.setNoDelay(true);
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (socket.connecting) socket.destroy();
    });
    let isConnected = false;
    socket.on("connect", () => {
      isConnected = true;
      socket.setTimeout(0);
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () =>
      this.#dropSocket(
        socket,
        isConnected ? "the connection closed" : NOT_CONNECTED,
      ));
    internals.readMessages(
      socket,
      (message) => this.#client.receive(message as jsonRpc.JSONRPCResponse),
    );
    this.#socket = socket;
    return socket;
  }

  #dropSocket(socket: net.Socket, reason: string): void {
    if (this.#socket !== socket) return;
    this.#socket = undefined;
    this.#client.rejectAllPendingRequests(reason);
  }
}
