import * as net from "node:net";
import * as randomSources from "../../src/fixtures/random_source.ts";
import * as layouts from "./fleet_layout.ts";
import * as clients from "./soak_client.ts";

/** Size of the body that a client of a crowd announces, in bytes. */
const BODY_BYTES = 900_000;
const PIECE_BYTES = [1, 100, 60_000];
/** Times between two pieces, in ms. */
const PIECE_INTERVALS_MS = [0, 5, 100];
/** Longest time until a client begins anew, in ms. */
const MAX_RESTART_MS = 500;
/** Time after which a client closes its connection itself, in ms. */
const MAX_CONNECTION_MS = 8_000;

/** How a client of a crowd frames its body, which never ends. */
type Framing = "none" | "length" | "chunked";

const FRAMINGS: readonly Framing[] = ["none", "length", "chunked"];
const TARGETS = ["/till/x", "/steps/x", "/Configuration.Replace"];

/** Options of a crowd. */
export interface SoakCrowdOptions {
  readonly seed: number;
  /** Clients that are connected at a time. */
  readonly clients: number;
  readonly entries: readonly layouts.SoakBox[];
}

/**
 * Clients that send requests without end, in large and small pieces, to all ports of
 * entry boxes, and begin anew when their connection closes.
 */
export class SoakCrowd {
  readonly #options: SoakCrowdOptions;
  readonly #random: randomSources.RandomSource;
  readonly #sockets = new Set<net.Socket>();
  #connectionCount = 0;
  #isStopped = false;

  constructor(options: SoakCrowdOptions) {
    this.#options = options;
    this.#random = new randomSources.RandomSource(options.seed);
  }

  start(): void {
    for (let count = 0; count < this.#options.clients; count += 1) {
      this.#connect();
    }
  }

  stop(): void {
    this.#isStopped = true;
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Returns the number of connections that clients have begun. */
  countConnections(): number {
    return this.#connectionCount;
  }

  #connect(): void {
    if (this.#isStopped) return;
    const box = this.#random.pick(this.#options.entries);
    const port = this.#random.pick([
      layouts.PORTS.caller,
      layouts.PORTS.caller,
      layouts.PORTS.control,
      layouts.PORTS.directory,
    ]);
    const restartMs = this.#random.drawInteger(1, MAX_RESTART_MS);
    const socket = net.connect(port, box.address);
    this.#sockets.add(socket);
    this.#connectionCount += 1;
    const timer = setTimeout(() => socket.destroy(), MAX_CONNECTION_MS);
    socket.resume();
    // Boxes are killed, and close such connections.
    socket.on("error", () => {});
    socket.once("connect", () => this.#send(socket));
    socket.once("close", () => {
      clearTimeout(timer);
      this.#sockets.delete(socket);
      setTimeout(() => this.#connect(), restartMs);
    });
  }

  #send(socket: net.Socket): void {
    const framing = this.#random.pick(FRAMINGS);
    const target = this.#random.pick(TARGETS);
    const pieceBytes = this.#random.pick(PIECE_BYTES);
    const intervalMs = this.#random.pick(PIECE_INTERVALS_MS);
    if (framing === "none") return;
    socket.write(formatHead(target, `crowd-${this.#connectionCount}`, framing));
    const piece = createPiece(framing, pieceBytes);
    const mostPieces = framing === "length"
      ? Math.floor((BODY_BYTES - 1) / pieceBytes)
      : Number.POSITIVE_INFINITY;
    sendPieces(socket, { piece, intervalMs, mostPieces });
  }
}

function formatHead(target: string, id: string, framing: Framing): string {
  const framingHeader = framing === "length"
    ? `Content-Length: ${BODY_BYTES}`
    : "Transfer-Encoding: chunked";
  return `POST ${target} HTTP/1.1\r\nHost: ${clients.ROUTE_HOST}\r\n` +
    `X-Request-Id: ${id}\r\n${framingHeader}\r\n\r\n`;
}

function createPiece(framing: Framing, bytes: number): Buffer {
  const content = Buffer.alloc(bytes, 97);
  if (framing === "length") return content;
  return Buffer.concat([
    Buffer.from(`${bytes.toString(16)}\r\n`),
    content,
    Buffer.from("\r\n"),
  ]);
}

/** Pieces of a body and the time between them, in ms. */
interface PieceSeries {
  readonly piece: Buffer;
  readonly intervalMs: number;
  readonly mostPieces: number;
}

/** Sends pieces until the connection closes, no faster than they are taken. */
function sendPieces(
  socket: net.Socket,
  { piece, intervalMs, mostPieces }: PieceSeries,
): void {
  let sent = 0;
  function sendNext(): void {
    if (socket.destroyed || !socket.writable || sent >= mostPieces) return;
    sent += 1;
    if (!socket.write(piece)) return void socket.once("drain", sendNext);
    setTimeout(sendNext, intervalMs);
  }
  sendNext();
}
