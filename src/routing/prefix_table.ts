/** Prefixes that are remembered; the least lately used go first. */
const MAX_PREFIXES = 8_192;

/** Which servers likely hold which prompt prefix, as one box learned. */
export class PrefixTable {
  readonly #servers = new Map<string, ReadonlySet<string>>();

  /** Notes that a server holds a prefix. */
  add(prefix: string, server: string): void {
    const known = this.#servers.get(prefix) ?? new Set();
    this.#servers.delete(prefix);
    this.#servers.set(prefix, new Set([...known, server]));
    const oldest = this.#servers.keys().next().value;
    if (this.#servers.size > MAX_PREFIXES && oldest !== undefined) {
      this.#servers.delete(oldest);
    }
  }

  /** Notes that a server no longer holds a prefix. */
  remove(prefix: string, server: string): void {
    const known = this.#servers.get(prefix);
    if (known === undefined || !known.has(server)) return;
    const rest = new Set([...known].filter((other) => other !== server));
    if (rest.size === 0) this.#servers.delete(prefix);
    else this.#servers.set(prefix, rest);
  }

  /** Forgets all that a server holds, after a gap in its events. */
  removeServer(server: string): void {
    for (const prefix of this.#servers.keys()) this.remove(prefix, server);
  }

  /** Gives the servers that likely hold a prefix. */
  findServers(prefix: string): ReadonlySet<string> {
    return this.#servers.get(prefix) ?? NO_SERVERS;
  }
}

const NO_SERVERS: ReadonlySet<string> = new Set();
