import type * as logs from "../log/mod.ts";
import type * as results from "../results/mod.ts";
import type * as configurations from "./configuration.ts";

/** Reads a configuration's text. */
export type ParseConfiguration = (
  text: string,
) => results.Result<configurations.Configuration>;

/** The configuration in force on this box; it only ever moves forward. */
export class ConfigurationHolder {
  readonly #parse: ParseConfiguration;
  readonly #log: logs.Log;
  #stored: configurations.StoredConfiguration | undefined;
  #current: configurations.Configuration | undefined;

  constructor(parse: ParseConfiguration, log: logs.Log) {
    this.#parse = parse;
    this.#log = log;
  }

  /** Puts a configuration in force if it is newer; tells whether it is. */
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

  /** Version in force; 0 before the first. */
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
