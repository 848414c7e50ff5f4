/**
 * JSON-RPC 2.0 between boxes, one JSON text a frame over TCP.
 *
 * @example
 * ```ts
 * import * as rpc from "../rpc/mod.ts";
 * const client = new rpc.RpcClient({ address: "127.0.0.1", port: 8082 });
 * ```
 * @module
 */
export { disableCompression as disableCompression } from "./_framing.ts";
export * from "./rpc_client.ts";
export * from "./rpc_server.ts";
