import type * as http from "node:http";
import type * as net from "node:net";

/** Why a connection was closed before its caller closed it. */
export type ClosingReason = "share" | "pipelined" | "unread" | "acceptFailed";

/** Bounds of the connections of a listener. */
export interface ConnectionLimits {
  /** Most open connections. */
  readonly maxConnections: number;
}

/** Most requests of one connection that wait behind the one in progress. */
const MAX_WAITING = 16;
/** Connections that a listener may have, where no limit is set. */
const DEFAULT_MAX_CONNECTIONS = 2_000;

/** What is known of an open connection. */
interface ConnectionState {
  readonly isBusy: boolean;
  /** Whether a request of it was answered. */
  readonly isProven: boolean;
  /** Requests behind the one in progress, in order. */
  readonly waiting: readonly Exchange[];
}

const NEW_CONNECTION: ConnectionState = {
  isBusy: false,
  isProven: false,
  waiting: [],
};

/** A request that has not been answered whole. */
export interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/**
 * Bounds the connections of a listener, so that those of one crowd don't take the
 * descriptors that other work of the process needs. Beyond the limit a connection
 * without a request is closed: first those that never had one answered, then those at
 * rest for longest. If each has a request, the newest is closed.
 */
export class ConnectionGuard {
  /** Open connections, the least recently used first. */
  readonly #connections = new Map<net.Socket, ConnectionState>();
  readonly #onClosed: (reason: ClosingReason) => void;
  #maxConnections = DEFAULT_MAX_CONNECTIONS;

  /** @param onClosed Called with the reason of each connection that is closed. */
  constructor(onClosed: (reason: ClosingReason) => void) {
    this.#onClosed = onClosed;
  }

  /** Sets the bounds; connections beyond them are closed as others come. */
  limit({ maxConnections }: ConnectionLimits): void {
    this.#maxConnections = maxConnections;
  }

  /** Returns the number of open connections. */
  getCount(): number {
    return this.#connections.size;
  }

  /** Reports whether a request of a connection is in progress. */
  isBusy(socket: net.Socket): boolean {
    return this.#connections.get(socket)?.isBusy ?? false;
  }

  /** Adds a connection that was accepted. */
  add(socket: net.Socket): void {
    this.#connections.set(socket, NEW_CONNECTION);
    socket.once("close", () => this.#connections.delete(socket));
    if (this.#connections.size <= this.#maxConnections) return;
    this.#close(this.#findDispensable(socket), "share");
  }

  /**
   * Takes a request. Requests of one connection are in progress one after the other.
   *
   * @returns Whether to begin it now; if not, it waits or its connection was closed.
   */
  admitRequest(exchange: Exchange): boolean {
    const { socket } = exchange.request;
    const state = this.#connections.get(socket);
    if (state === undefined) return false;
    if (!state.isBusy) {
      this.#update(socket, { ...state, isBusy: true });
      return true;
    }
    if (state.waiting.length >= MAX_WAITING) this.#close(socket, "pipelined");
    else {
      const waiting = [...state.waiting, exchange];
      this.#update(socket, { ...state, waiting });
    }
    return false;
  }

  /** Notes that a request was answered; returns the one to begin next, if any. */
  takeNextRequest({ socket }: http.IncomingMessage): Exchange | undefined {
    const state = this.#connections.get(socket);
    if (state === undefined) return undefined;
    const [next, ...waiting] = state.waiting;
    const isBusy = next !== undefined;
    this.#update(socket, { isBusy, isProven: true, waiting });
    return next;
  }

  /** Notes that a connection without requests was used, as by another box. */
  recordUse(socket: net.Socket): void {
    const state = this.#connections.get(socket);
    if (state !== undefined) this.#update(socket, { ...state, isProven: true });
  }

  /** Closes a connection whose caller doesn't read its answer. */
  closeUnread({ socket }: http.IncomingMessage): void {
    this.#close(socket, "unread");
  }

  /** Sets the state of a connection and makes it the most recently used. */
  #update(socket: net.Socket, state: ConnectionState): void {
    this.#connections.delete(socket);
    this.#connections.set(socket, state);
  }

  #findDispensable(newest: net.Socket): net.Socket {
    let resting: net.Socket | undefined;
    for (const [socket, { isBusy, isProven }] of this.#connections) {
      if (isBusy || socket === newest) continue;
      if (!isProven) return socket;
      resting ??= socket;
    }
    return resting ?? newest;
  }

  #close(socket: net.Socket, reason: ClosingReason): void {
    this.#connections.delete(socket);
    socket.destroy();
    this.#onClosed(reason);
  }
}
