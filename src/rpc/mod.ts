/**
 * JSON-RPC 2.0 between boxes over TCP, with one message per frame.
 *
 * @example
 * ```ts
 * import * as rpc from "../rpc/mod.ts";
 * const client = new rpc.RpcClient({ address: "127.0.0.1", port: 8082 });
 * ```
 * @module
 */
export { disableCompression, markLarge } from "./_framing.ts";
export * from "./rpc_client.ts";
export * from "./rpc_server.ts";
