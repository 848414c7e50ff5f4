import type * as consensus from "../consensus/mod.ts";
import type * as configurations from "./configuration.ts";

/** Command that replaces the configuration by one of a higher version. */
export interface PutConfiguration {
  readonly kind: "putConfiguration";
  readonly stored: configurations.StoredConfiguration;
}

/** Result of applying a command. */
export interface PutResult {
  /** Version of the configuration after the command. */
  readonly version: number;
}

/** Replicated state machine that holds the newest configuration. */
export class ConfigurationMachine implements consensus.StateMachine {
  readonly #onChange: (stored: configurations.StoredConfiguration) => void;
  #stored: configurations.StoredConfiguration | undefined;
  #notifiedVersion = 0;

  /**
   * @param onChange Called with each new configuration. One restored from a
   * snapshot may be outdated, so it is called only once a further log entry is
   * applied.
   */
  constructor(
    onChange: (stored: configurations.StoredConfiguration) => void,
  ) {
    this.#onChange = onChange;
  }

  getStored(): configurations.StoredConfiguration | undefined {
    return this.#stored;
  }

  apply(command: unknown): PutResult {
    const { kind, stored } = command as Partial<PutConfiguration>;
    if (kind === "putConfiguration" && stored !== undefined) this.#put(stored);
    this.#notifyChange();
    return { version: this.#stored?.version ?? 0 };
  }

  save(): readonly unknown[] {
    return [{ stored: this.#stored }];
  }

  restore(parts: readonly unknown[]): void {
    const { stored } = parts[0] as {
      readonly stored?: configurations.StoredConfiguration;
    };
    if (stored !== undefined) this.#put(stored);
  }

  #put(stored: configurations.StoredConfiguration): void {
    if (stored.version <= (this.#stored?.version ?? 0)) return;
    this.#stored = stored;
  }

  #notifyChange(): void {
    if (this.#stored === undefined) return;
    if (this.#stored.version <= this.#notifiedVersion) return;
    this.#notifiedVersion = this.#stored.version;
    this.#onChange(this.#stored);
  }
}
