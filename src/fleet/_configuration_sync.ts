import type * as logs from "../log/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import * as protocol from "./protocol.ts";
import type * as peerPools from "./peer_pool.ts";

/** Longest wait for a configuration that another box holds, in ms. */
const CALL_TIMEOUT_MS = 1_000;

/** What the news of configurations need. */
export interface ConfigurationSyncOptions {
  readonly log: logs.Log;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly peers: peerPools.Peers;
  /** Told when a newer one was taken. */
  readonly onUpdated: () => void;
}

/** Takes newer configurations from other boxes. */
export class ConfigurationSync {
  readonly #options: ConfigurationSyncOptions;
  #isFetching = false;

  constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
  }

  /** Takes a configuration if it is newer than the one that is held. */
  offer(stored: trafficConfig.StoredConfiguration | undefined): void {
    if (stored === undefined) return;
    const { configuration, onUpdated: onUpdated } = this.#options;
    if (configuration.update(stored)) onUpdated();
  }

  /** Asks the sender for the configuration when it holds a newer one. */
  fetchIfOutdated(
    message: Pick<protocol.GossipMessage, "from" | "configurationVersion">,
  ): void {
    const { configuration, peers, log } = this.#options;
    const isOutdated =
      message.configurationVersion > configuration.getVersion();
    if (!isOutdated || this.#isFetching) return;
    this.#isFetching = true;
    peers.get(message.from).call<Pick<protocol.SyncReply, "configuration">>(
      protocol.METHODS.readConfiguration,
      {},
      CALL_TIMEOUT_MS,
    ).then((reply) => this.offer(reply.configuration))
      .catch((error: Error) =>
        log.write("warn", "configuration.unread", { message: error.message })
      )
      .finally(() => {
        this.#isFetching = false;
      });
  }
}
