import type * as net from "node:net";
import * as heldBytes from "../held_bytes/mod.ts";
import * as framing from "./_framing.ts";

/** Called with each message; one that throws ends its connection. */
export type MessageHandler = (message: unknown) => void;

/**
 * Reads messages from a socket, and destroys it on an invalid frame.
 *
 * @param socket The socket.
 * @param onMessage Called with each parsed message, in order.
 */
export function readMessages(
  socket: net.Socket,
  onMessage: MessageHandler,
): void {
  const reader = new MessageReader(socket, onMessage);
  socket.on("data", (chunk: Buffer) => reader.read(chunk));
  socket.once("close", () => reader.stop());
}

/** Reads the frames of one connection. Their bytes count as held by the process. */
class MessageReader implements heldBytes.ByteHolder {
  readonly #socket: net.Socket;
  readonly #onMessage: MessageHandler;
  readonly #collector = new heldBytes.ByteCollector();
  /** Size that the collected bytes must reach before reading can continue. */
  #neededBytes = framing.HEADER_BYTES;
  /** Whether a large message is about to be delivered. */
  #isWaiting = false;

  constructor(socket: net.Socket, onMessage: MessageHandler) {
    this.#socket = socket;
    this.#onMessage = onMessage;
  }

  read(chunk: Buffer): void {
    this.#append(chunk);
    this.#readFrames();
  }

  /** Closes the connection, as the process holds too many bytes. */
  abort(): void {
    this.stop();
    this.#socket.destroy();
  }

  stop(): void {
    this.#collector.discard();
    heldBytes.SHARED_HELD_BYTES.release(this);
  }

  #append(piece: Buffer): void {
    const added = this.#collector.append(piece);
    if (added > 0) heldBytes.SHARED_HELD_BYTES.add(this, added);
  }

  #readFrames(): void {
    if (this.#isWaiting || this.#collector.getSize() < this.#neededBytes) {
      return;
    }
    const rest = this.#deliverFrames(this.#takeBytes());
    if (rest === undefined) return void this.#socket.destroy();
    // A copy, as the rest would keep all the bytes of which it is a part.
    if (rest.length > 0) this.#append(Buffer.from(rest));
  }

  #takeBytes(): Buffer {
    const bytes = this.#collector.takeBuffer();
    heldBytes.SHARED_HELD_BYTES.releaseToCollector(this);
    return bytes;
  }

  /** Delivers whole frames; returns the bytes behind them, undefined on a failure. */
  #deliverFrames(bytes: Buffer): Buffer | undefined {
    let rest = bytes;
    for (;;) {
      const frame = framing.readFrame(rest);
      switch (frame.kind) {
        case "invalid":
          return undefined;
        case "partial":
          this.#neededBytes = frame.neededBytes;
          return rest;
        case "whole":
          rest = rest.subarray(frame.frameBytes);
      }
      this.#neededBytes = framing.HEADER_BYTES;
      if (frame.frameBytes >= heldBytes.LARGE_MESSAGE_BYTES) {
        void this.#deliverLarge(frame.message, frame.frameBytes);
        return rest;
      }
      if (!this.#deliver(frame.message)) return undefined;
    }
  }

  /** Delivers a large message once its frame was collected, then reads on. */
  async #deliverLarge(message: unknown, frameBytes: number): Promise<void> {
    this.#isWaiting = true;
    this.#socket.pause();
    await heldBytes.collectAfterMessage(frameBytes);
    this.#isWaiting = false;
    if (!this.#deliver(message)) return void this.#socket.destroy();
    this.#socket.resume();
    this.#readFrames();
  }

  /** Delivers a message; false if its handler throws. */
  #deliver(message: unknown): boolean {
    try {
      this.#onMessage(message);
      return true;
    } catch {
      return false;
    }
  }
}
