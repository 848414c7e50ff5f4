import type * as logs from "../log/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import * as protocol from "./protocol.ts";
import type * as peerPools from "./peer_pool.ts";

/** Timeout for fetching a configuration from another box, in ms. */
const CALL_TIMEOUT_MS = 1_000;

/** Dependencies of a configuration sync. */
export interface ConfigurationSyncOptions {
  readonly log: logs.Log;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly peers: peerPools.Peers;
  /** Called after a newer configuration was put in force. */
  readonly onUpdated: () => void;
}

/** Adopts newer configurations received or fetched from other boxes. */
export class ConfigurationSync {
  readonly #options: ConfigurationSyncOptions;
  #isFetching = false;

  constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
  }

  /** Puts a received configuration in force if it is newer than the current one. */
  offer(
    stored: trafficConfig.StoredConfiguration | undefined,
    source: trafficConfig.ConfigurationSource,
  ): void {
    if (stored === undefined) return;
    const { configuration, onUpdated } = this.#options;
    if (configuration.update(stored, source)) onUpdated();
  }

  /** Whether the sender of a message has an older version than this box. */
  isSenderOutdated(
    { configurationVersion }: Pick<
      protocol.GossipMessage,
      "configurationVersion"
    >,
  ): boolean {
    return configurationVersion < this.#options.configuration.getVersion();
  }

  /**
   * Fetches the configuration from the sender of a message if that message
   * announces a newer version. At most one fetch runs at a time; a failed one is
   * logged, and the next message with a newer version starts another.
   */
  fetchIfOutdated(
    message: Pick<protocol.GossipMessage, "from" | "configurationVersion">,
  ): void {
    const { configuration, peers, log } = this.#options;
    configuration.observeVersion(message.configurationVersion);
    const isOutdated =
      message.configurationVersion > configuration.getVersion();
    if (!isOutdated || this.#isFetching) return;
    this.#isFetching = true;
    peers.get(message.from).call<Pick<protocol.SyncReply, "configuration">>(
      protocol.METHODS.readConfiguration,
      {},
      CALL_TIMEOUT_MS,
    ).then((reply) => this.offer(reply.configuration, "fetch"))
      .catch((error: Error) =>
        log.write("warn", "configuration.unread", {
          from: message.from,
          version: message.configurationVersion,
          message: error.message,
        })
      )
      .finally(() => {
        this.#isFetching = false;
      });
  }
}
