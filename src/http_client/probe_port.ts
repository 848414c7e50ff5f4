import * as net from "node:net";

/** Timeout after which the port counts as silent, in ms. */
const PROBE_TIMEOUT_MS = 250;
const REFUSED_CODE = "ECONNREFUSED";

/** Result of {@linkcode probePort}. */
export type PortState =
  /** A process accepts connections. */
  | "open"
  /** The box is reachable, but nothing listens on the port. */
  | "refused"
  /** The connection timed out or failed otherwise. */
  | "silent";

/**
 * Checks whether a process listens at an address, by opening a connection without
 * sending data.
 *
 * @param address IP address.
 * @param port Port.
 * @returns The state of the port; the promise is never rejected.
 */
export function probePort(
  address: string,
  port: number,
): Promise<PortState> {
  return new Promise((resolve) => {
    const socket = net.connect(port, address);
    const timer = setTimeout(() => settle("silent"), PROBE_TIMEOUT_MS);
    function settle(state: PortState): void {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    }
    socket.once("connect", () => settle("open"));
    socket.once("error", (error: NodeJS.ErrnoException) => {
      settle(error.code === REFUSED_CODE ? "refused" : "silent");
    });
  });
}
