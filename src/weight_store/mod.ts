/**
 * Client of the weight store.
 *
 * @example
 * ```ts
 * import * as weightStore from "../weight_store/mod.ts";
 * await new weightStore.WeightStoreClient("http://127.0.0.1:9100").readLatest();
 * ```
 * @module
 */
export * from "./weight_store_client.ts";
