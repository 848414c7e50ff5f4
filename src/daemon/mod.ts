/**
 * The daemon of a box, which starts and stops its components in order.
 *
 * @example
 * ```ts
 * import * as daemons from "../daemon/mod.ts";
 * await new daemons.Daemon(settings, console.log).start();
 * ```
 * @module
 */
export * from "./daemon.ts";
