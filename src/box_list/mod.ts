/**
 * Client of the platform's box list.
 *
 * @example
 * ```ts
 * import * as boxList from "../box_list/mod.ts";
 * await new boxList.BoxListClient("http://127.0.0.1:9000").readServers();
 * ```
 * @module
 */
export * from "./box_list_client.ts";
