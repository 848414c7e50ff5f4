import * as net from "node:net";
import * as jsonRpc from "json-rpc-2.0";
import * as results from "../results/mod.ts";
import * as framing from "./_framing.ts";
import * as messageReaders from "./_message_reader.ts";

/** Address on which a box listens for its peers. */
export interface PeerAddress {
  readonly address: string;
  readonly port: number;
}

/** Write buffer size in bytes above which a connection is closed. */
const MAX_WRITE_BUFFER_BYTES = 32 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 1_000;
/** Delay between a notification and the ping that follows it, in ms. */
const PING_INTERVAL_MS = 1_000;
/** Reason with which calls fail if no connection was established. */
const NOT_CONNECTED_REASON = "the connection was not made";

/** Sends notifications and calls to another box. */
export interface Peer {
  /** Sends a notification without a response; it may be lost. */
  notify(method: string, params: object): void;
  /** Calls a method and waits for its result. */
  call<T>(method: string, params: object, timeoutMs: number): Promise<T>;
}

/** Calls another box by JSON-RPC over one TCP connection, opened on demand. */
export class RpcClient implements Peer {
  readonly #peer: PeerAddress;
  readonly #pingIntervalMs: number;
  readonly #client: jsonRpc.JSONRPCClient;
  #socket: net.Socket | undefined;
  #pingTimer: NodeJS.Timeout | undefined;
  #isClosed = false;

  /**
   * @param peer Address of the box.
   * @param pingIntervalMs Delay between a notification and its ping, and the
   * timeout of the ping, in ms.
   */
  constructor(peer: PeerAddress, pingIntervalMs = PING_INTERVAL_MS) {
    this.#peer = peer;
    this.#pingIntervalMs = pingIntervalMs;
    this.#client = new jsonRpc.JSONRPCClient((message) =>
      this.#sendMessage(message)
    );
  }

  notify(method: string, params: object): void {
    if (this.#isClosed) return;
    try {
      this.#client.notify(method, params);
      this.#schedulePing();
    } catch {
      // Callers tolerate lost notifications.
    }
  }

  /**
   * Pings the peer after a notification. Notifications have no response, so a
   * connection that silently stopped working would lose them until it is closed.
   */
  #schedulePing(): void {
    if (this.#pingTimer !== undefined) return;
    this.#pingTimer = setTimeout(() => {
      this.call(framing.PING_METHOD, {}, this.#pingIntervalMs)
        // The failed call has already closed a silent connection.
        .catch(() => {})
        .finally(() => {
          this.#pingTimer = undefined;
        });
    }, this.#pingIntervalMs);
    this.#pingTimer.unref();
  }

  /**
   * Calls a method and waits for its result.
   *
   * @throws FailureError `connectFailed`; its outcome is `notRun` if no
   * connection was established, and `unknown` otherwise.
   */
  async call<T>(method: string, params: object, timeoutMs: number): Promise<T> {
    const bytesReadBefore = this.#getBytesRead();
    try {
      return await this.#client.timeout(timeoutMs).request(method, params) as T;
    } catch (error) {
      const { message } = error as Error;
      this.#closeIfSilent(bytesReadBefore);
      throw new results.FailureError({
        code: "connectFailed",
        message: `Cannot call ${method} at ${this.#peer.address}: ${message}`,
        outcome: message === NOT_CONNECTED_REASON ? "notRun" : "unknown",
      });
    }
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#pingTimer);
    this.#socket?.destroy();
  }

  #getBytesRead(): number {
    return this.#socket?.bytesRead ?? 0;
  }

  /** Closes a connection that received nothing during a failed call. */
  #closeIfSilent(bytesReadBefore: number): void {
    if (this.#getBytesRead() === bytesReadBefore) this.#socket?.destroy();
  }

  #sendMessage(message: unknown): void {
    const socket = this.#openSocket();
    if (socket.writableLength > MAX_WRITE_BUFFER_BYTES) {
      socket.destroy();
      throw new Error("the connection is full");
    }
    framing.writeMessage(socket, message);
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
      this.#handleSocketClose(
        socket,
        isConnected ? "the connection closed" : NOT_CONNECTED_REASON,
      ));
    messageReaders.readMessages(
      socket,
      (message) => this.#client.receive(message as jsonRpc.JSONRPCResponse),
    );
    this.#socket = socket;
    return socket;
  }

  #handleSocketClose(socket: net.Socket, reason: string): void {
    if (this.#socket !== socket) return;
    this.#socket = undefined;
    this.#client.rejectAllPendingRequests(reason);
  }
}
