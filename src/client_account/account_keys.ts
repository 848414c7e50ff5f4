import * as clientAccounts from "./client_account.ts";

/** Maximum length of a key, in characters; longer ones match no account. */
export const MAX_KEY_CHARACTERS = 1_024;

/** A client account whose callers authenticate with one of its keys. */
export interface KeyedAccount {
  readonly name: string;
  /** SHA-256 of each key, in hex; the keys themselves are not stored. */
  readonly keySha256s: readonly string[];
  /** Priority of its requests, overrides that of their route; 0 is the highest. */
  readonly priority: number | undefined;
}

/** Identity of the sender of a request. */
export type Sender =
  /** The configuration has no accounts, so keys are not checked. */
  | { readonly kind: "unasked" }
  /** No key was sent, and the route requires none. */
  | { readonly kind: "anonymous" }
  | {
    readonly kind: "account";
    readonly name: string;
    readonly priority: number | undefined;
  };

/** The sender of a request, or the reason for refusing the request. */
export type KeyCheckResult =
  | Sender
  | { readonly kind: "refused"; readonly reason: string };

/** Returns the name of a sender's client account; empty if it has none. */
export function getAccountName(sender: Sender): string {
  return sender.kind === "account" ? sender.name : "";
}

/** The client accounts of a configuration, indexed by their keys. */
export class AccountKeys {
  readonly #accounts: readonly KeyedAccount[];
  readonly #byKeySha256 = new Map<string, KeyedAccount>();

  constructor(accounts: readonly KeyedAccount[]) {
    this.#accounts = accounts;
    for (const account of accounts) {
      for (const sha256 of account.keySha256s) {
        this.#byKeySha256.set(sha256, account);
      }
    }
  }

  /** All accounts, in the order of the configuration. */
  list(): readonly KeyedAccount[] {
    return this.#accounts;
  }

  /** Finds the account with a key; undefined if there is none. */
  findByKey(key: string): KeyedAccount | undefined {
    if (key === "" || key.length > MAX_KEY_CHARACTERS) return undefined;
    return this.#byKeySha256.get(clientAccounts.hashToken(key));
  }
}

/**
 * Authenticates the sender of a request by its key.
 *
 * @param accounts Accounts of the configuration in force; undefined if it has
 * none.
 * @param key The key as sent; undefined for none. If a request carries several
 * keys, they form one text, which matches no account.
 * @param allowsAnonymous Whether the request's route requires no key.
 * @returns The sender; `refused` for a key that is unknown, on any route, or
 * that is missing where one is required.
 */
export function checkKey(
  accounts: AccountKeys | undefined,
  key: string | undefined,
  allowsAnonymous: boolean,
): KeyCheckResult {
  if (accounts === undefined) return { kind: "unasked" };
  if (key === undefined) {
    if (allowsAnonymous) return { kind: "anonymous" };
    return { kind: "refused", reason: "no key was shown" };
  }
  const account = accounts.findByKey(key);
  if (account === undefined) {
    return { kind: "refused", reason: "no account holds the key" };
  }
  const { name, priority } = account;
  return { kind: "account", name, priority };
}

/**
 * Validates the accounts of a configuration: names must be unique and not empty,
 * and no two accounts may share a key.
 *
 * @param accounts The accounts, in the order of the configuration.
 * @returns The first error with the path of its field, or undefined.
 */
export function findAccountError(
  accounts: readonly KeyedAccount[],
): string | undefined {
  const names = new Set<string>();
  const ownersByKey = new Map<string, string>();
  for (const [index, { name, keySha256s }] of accounts.entries()) {
    if (name === "") return `accounts.${index}.name: it is empty`;
    if (names.has(name)) return `accounts.${index}.name: ${name} stands twice`;
    names.add(name);
    for (const [keyIndex, sha256] of keySha256s.entries()) {
      const owner = ownersByKey.get(sha256);
      if (owner !== undefined && owner !== name) {
        return `accounts.${index}.keys.${keyIndex}: ${owner} and ${name} share it`;
      }
      ownersByKey.set(sha256, name);
    }
  }
  return undefined;
}

/** Number of hex digits of a key's digest in log lines. */
const LOGGED_DIGEST_DIGITS = 8;

/**
 * Describes a key for a log line without revealing it.
 *
 * @param key The key as sent; undefined for none.
 * @returns The first digits of its digest, or `none`.
 */
export function describeKey(key: string | undefined): string {
  if (key === undefined) return "none";
  return clientAccounts.hashToken(key.slice(0, MAX_KEY_CHARACTERS)).slice(
    0,
    LOGGED_DIGEST_DIGITS,
  );
}
