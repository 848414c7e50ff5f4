import * as http from "node:http";

const MAX_FREE_SOCKETS = 32;
/** Servers that close earlier say so in their answers, which is followed. */
const FREE_SOCKET_MS = 30_000;

/** Connections that are kept between requests. */
export const SHARED_AGENT = new http.Agent({
  keepAlive: true,
  maxFreeSockets: MAX_FREE_SOCKETS,
  timeout: FREE_SOCKET_MS,
  scheduling: "lifo",
});

/** Largest answer unless a request says otherwise, in bytes. */
export const DEFAULT_ANSWER_BYTES = 16 * 1024 * 1024;

/** Time to connect unless a request says otherwise, in ms. */
export const DEFAULT_CONNECT_MS = 1_000;
