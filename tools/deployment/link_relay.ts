import * as net from "node:net";

/** Where a relay listens and where it leads. */
export interface LinkRelayOptions {
  readonly listenAddress: string;
  readonly listenPort: number;
  readonly targetAddress: string;
  readonly targetPort: number;
}

/** A TCP relay that counts bytes and can cut its link, for benches and tests. */
export class LinkRelay {
  readonly #options: LinkRelayOptions;
  readonly #server: net.Server;
  readonly #sockets = new Set<net.Socket>();
  #bytes = 0;
  #isCut = false;

  constructor(options: LinkRelayOptions) {
    this.#options = options;
    this.#server = net.createServer((socket) => this.#accept(socket));
  }

  start(): Promise<void> {
    const { listenAddress, listenPort } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(listenPort, listenAddress, () => resolve());
    });
  }

  /** Bytes that went through, both ways. */
  getBytes(): number {
    return this.#bytes;
  }

  /** Swallows all from now on without closing: a silent cut. */
  cut(): void {
    this.#isCut = true;
  }

  /** Lets new connections through again; cut ones are closed. */
  restore(): void {
    this.#isCut = false;
    for (const socket of this.#sockets) socket.destroy();
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: net.Socket): void {
    const { targetAddress, targetPort } = this.#options;
    const target = net.connect(targetPort, targetAddress);
    this.#forwardData(socket, target);
    this.#forwardData(target, socket);
  }

  #forwardData(from: net.Socket, to: net.Socket): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on("data", (chunk) => {
      if (this.#isCut) return;
      this.#bytes += chunk.length;
      to.write(chunk);
    });
    from.on("error", () => from.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      if (!this.#isCut) to.destroy();
    });
  }
}
