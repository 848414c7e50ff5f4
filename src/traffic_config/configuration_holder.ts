import type * as logs from "../log/mod.ts";
import type * as results from "../results/mod.ts";
import type * as configurations from "./configuration.ts";

/** Parses and checks the text of a configuration. */
export type ParseConfiguration = (
  text: string,
) => results.Result<configurations.Configuration>;

/** Holds the configuration in force on this box; its version never decreases. */
export class ConfigurationHolder {
  readonly #parse: ParseConfiguration;
  readonly #log: logs.Log;
  #stored: configurations.StoredConfiguration | undefined;
  #current: configurations.Configuration | undefined;

  constructor(parse: ParseConfiguration, log: logs.Log) {
    this.#parse = parse;
    this.#log = log;
  }

  /**
   * Puts a configuration in force if it is newer and its text can be parsed.
   *
   * @returns Whether it was put in force.
   */
  update(stored: configurations.StoredConfiguration): boolean {
    if (stored.version <= this.getVersion()) return false;
    const parsed = this.#parse(stored.text);
    if (parsed.kind === "failure") {
      this.#log.write("error", "configuration.unreadable", {
        version: stored.version,
        message: parsed.failure.message,
      });
      return false;
    }
    this.#log.write("info", "configuration.inForce", {
      version: stored.version,
      before: this.getVersion(),
      routes: parsed.value.routes.length,
    });
    this.#stored = stored;
    this.#current = parsed.value;
    return true;
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
