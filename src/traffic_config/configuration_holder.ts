import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as results from "../results/mod.ts";
import type * as configurations from "./configuration.ts";

/** Decodes the text of an accepted configuration. */
export type DecodeConfiguration = (
  text: string,
) => results.Result<configurations.Configuration>;

/** Dependencies of a `ConfigurationHolder`. */
export interface ConfigurationHolderOptions {
  readonly clock: clocks.Clock;
  readonly log: Pick<logs.Log, "write">;
  readonly metrics: metrics.ConfigurationMetrics;
  readonly decode: DecodeConfiguration;
}

/** Holds the configuration in force on this box; its version never decreases. */
export class ConfigurationHolder {
  readonly #options: ConfigurationHolderOptions;
  #stored: configurations.StoredConfiguration | undefined;
  #current: configurations.Configuration | undefined;
  /** Last version that this build could not decode. */
  #unreadableVersion = 0;
  /** Highest version that another box was heard to have. */
  #announcedVersion = 0;
  /** Monotonic time since which a higher version is known, in ms. */
  #behindSinceMs: number | undefined;

  constructor(options: ConfigurationHolderOptions) {
    this.#options = options;
  }

  /**
   * Puts a configuration in force if it is newer and its text can be decoded.
   *
   * @param stored The configuration.
   * @param source How it reached this box.
   * @returns Whether it was put in force.
   */
  update(
    stored: configurations.StoredConfiguration,
    source: configurations.ConfigurationSource,
  ): boolean {
    if (!this.canAdopt(stored.version)) return false;
    const { log, metrics, decode } = this.#options;
    const decoded = decode(stored.text);
    if (decoded.kind === "failure") {
      this.#unreadableVersion = stored.version;
      metrics.countUnreadable();
      log.write("error", "configuration.unreadable", {
        version: stored.version,
        source,
        message: decoded.failure.message,
      });
      return false;
    }
    this.#reportAdopted(stored, decoded.value, source);
    this.#stored = stored;
    this.#current = decoded.value;
    if (stored.version >= this.#announcedVersion) {
      this.#behindSinceMs = undefined;
    }
    return true;
  }

  #reportAdopted(
    stored: configurations.StoredConfiguration,
    { routes }: configurations.Configuration,
    source: configurations.ConfigurationSource,
  ): void {
    const { log, metrics, clock } = this.#options;
    const { version, acceptedAtMs } = stored;
    const ageMs = acceptedAtMs === undefined
      ? undefined
      : Math.round(clock.getWallMs() - acceptedAtMs);
    metrics.recordAdopted({ version, source, ageMs });
    log.write("info", "configuration.inForce", {
      version,
      before: this.getVersion(),
      routes: routes.length,
      source,
      ageMs,
      behindMs: Math.round(this.getBehindMs()),
    });
  }

  /** Whether a version is newer than the current one and not known as unreadable. */
  canAdopt(version: number): boolean {
    return version > this.getVersion() && version !== this.#unreadableVersion;
  }

  /** Records the version that another box has in force. */
  observeVersion(version: number): void {
    this.#announcedVersion = Math.max(this.#announcedVersion, version);
    if (this.#announcedVersion <= this.getVersion()) return;
    this.#behindSinceMs ??= this.#options.clock.getMonotonicMs();
  }

  /** Time for which a higher version has been known, in ms; 0 for none. */
  getBehindMs(): number {
    if (this.#behindSinceMs === undefined) return 0;
    return this.#options.clock.getMonotonicMs() - this.#behindSinceMs;
  }

  /** Returns the version in force, or 0 before the first configuration. */
  getVersion(): number {
    return this.#stored?.version ?? 0;
  }

  get(): configurations.Configuration | undefined {
    return this.#current;
  }

  getStored(): configurations.StoredConfiguration | undefined {
    return this.#stored;
  }
}
