import type * as net from "node:net";

/** Where a server listens, and what it does about connections that it can't accept. */
export interface ListenOptions {
  readonly address: string;
  readonly port: number;
  /** Called when a connection could not be accepted; the server listens on. */
  readonly onAcceptError: (error: Error) => void;
}

/**
 * Makes a server listen. An error of it ends no process afterwards.
 *
 * @param server The server.
 * @param options The address, and what is done about later errors.
 * @returns Settled once it listens; rejected if it can't.
 */
export function startListening(
  server: net.Server,
  { address, port, onAcceptError }: ListenOptions,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => {
      server.off("error", reject);
      server.on("error", onAcceptError);
      resolve();
    });
  });
}
