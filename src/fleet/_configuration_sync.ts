import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import * as protocol from "./protocol.ts";
import type * as peerPools from "./peer_pool.ts";

/** Timeout for fetching a configuration from another box, in ms. */
const FETCH_TIMEOUT_MS = 1_000;
/** Delay after which a second box is asked for the configuration, in ms. */
const HEDGE_DELAY_MS = 250;
/** Largest number of boxes that are asked at the same time. */
const MAX_FETCHES = 2;

/** Dependencies of a configuration sync. */
export interface ConfigurationSyncOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly peers: peerPools.Peers;
  /** Called after a newer configuration was put in force. */
  readonly onUpdated: () => void;
}

/** The sender of a message and the version that it has in force. */
export type VersionNews = Pick<
  protocol.GossipMessage,
  "from" | "configurationVersion"
>;

/** Adopts newer configurations received or fetched from other boxes. */
export class ConfigurationSync {
  readonly #options: ConfigurationSyncOptions;
  /** Versions of boxes that have a newer one and were not asked yet, by id. */
  readonly #sources = new Map<string, number>();
  /** Ids of the boxes that are being asked. */
  readonly #asked = new Set<string>();

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
  isSenderOutdated({ configurationVersion }: VersionNews): boolean {
    return configurationVersion < this.#options.configuration.getVersion();
  }

  /**
   * Fetches the configuration from the sender of a message if that message names
   * a newer version. Until it has arrived, the other boxes that name one are
   * asked in turn: at once if a fetch fails, else after `HEDGE_DELAY_MS`.
   */
  fetchIfOutdated({ from, configurationVersion }: VersionNews): void {
    const { configuration } = this.#options;
    configuration.observeVersion(configurationVersion);
    if (!configuration.canAdopt(configurationVersion)) return;
    this.#sources.set(from, configurationVersion);
    if (this.#asked.size === 0) this.#fetchFromNext();
  }

  #fetchFromNext(): void {
    if (this.#asked.size >= MAX_FETCHES) return;
    const source = this.#takeSource();
    if (source === undefined) return;
    this.#asked.add(source);
    this.#options.clock.startTimer(HEDGE_DELAY_MS, () => this.#fetchFromNext());
    void this.#fetchFrom(source).finally(() => {
      this.#asked.delete(source);
      this.#fetchFromNext();
    });
  }

  /** Removes and returns a box with a version to adopt; forgets the others. */
  #takeSource(): string | undefined {
    for (const [id, version] of this.#sources) {
      if (this.#asked.has(id)) continue;
      this.#sources.delete(id);
      if (this.#options.configuration.canAdopt(version)) return id;
    }
    return undefined;
  }

  /** Fetches the configuration of a box; a failure is logged. */
  async #fetchFrom(id: string): Promise<void> {
    const { peers, log, configuration } = this.#options;
    try {
      const reply = await peers.get(id).call<
        Pick<protocol.SyncReply, "configuration">
      >(protocol.METHODS.readConfiguration, {}, FETCH_TIMEOUT_MS);
      this.offer(reply.configuration, "fetch");
    } catch (error) {
      log.write("warn", "configuration.unread", {
        from: id,
        version: configuration.getVersion(),
        behindMs: Math.round(configuration.getBehindMs()),
        message: (error as Error).message,
      });
    }
  }
}
