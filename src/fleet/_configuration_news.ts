import type * as logs from "../log/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import * as news from "./news.ts";
import type * as peerPools from "./peer_pool.ts";

/** Longest wait for a configuration that another box holds, in ms. */
const CALL_MS = 1_000;

/** What the news of configurations need. */
export interface ConfigurationNewsOptions {
  readonly log: logs.Log;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly peers: peerPools.Peers;
  /** Told when a newer one was taken. */
  readonly onTaken: () => void;
}

/** Takes newer configurations from other boxes. */
export class ConfigurationNews {
  readonly #options: ConfigurationNewsOptions;
  #isFetching = false;

  constructor(options: ConfigurationNewsOptions) {
    this.#options = options;
  }

  /** Takes a configuration if it is newer than the one that is held. */
  offer(stored: trafficConfig.StoredConfiguration | undefined): void {
    if (stored === undefined) return;
    const { configuration, onTaken } = this.#options;
    if (configuration.update(stored)) onTaken();
  }

  /** Asks the sender for the configuration when it holds a newer one. */
  fetchIfBehind(
    message: Pick<news.News, "from" | "configurationVersion">,
  ): void {
    const { configuration, peers, log } = this.#options;
    const isBehind = message.configurationVersion > configuration.getVersion();
    if (!isBehind || this.#isFetching) return;
    this.#isFetching = true;
    peers.get(message.from).call<Pick<news.SyncReply, "configuration">>(
      news.METHODS.readConfiguration,
      {},
      CALL_MS,
    ).then((reply) => this.offer(reply.configuration))
      .catch((error: Error) =>
        log.write("warn", "configuration.unread", { message: error.message })
      )
      .finally(() => {
        this.#isFetching = false;
      });
  }
}
