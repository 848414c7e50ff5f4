import * as net from "node:net";

/** Longest wait for a sign of the port, in ms; links take some milliseconds. */
const PROBE_TIMEOUT_MS = 250;
const REFUSED_CODE = "ECONNREFUSED";

/** What a port shows. */
export type PortState =
  /** Something listens there. */
  | "open"
  /** Its machine answers, and nothing listens. */
  | "refused"
  /** No sign of it. */
  | "silent";

/**
 * Finds out whether something listens at an address, by a connection that carries
 * nothing.
 *
 * @param address IP address.
 * @param port Port.
 * @returns What it shows; it never throws.
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
