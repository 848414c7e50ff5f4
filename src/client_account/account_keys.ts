import * as clientAccounts from "./client_account.ts";

/** Longest key that is looked up, in characters; no account holds a longer one. */
export const MAX_KEY_CHARACTERS = 1_024;

/** A client account whose callers show one of its keys. */
export interface KeyedAccount {
  readonly name: string;
  /** SHA-256 of each key, in hex; the keys themselves are not held. */
  readonly keySha256s: readonly string[];
  /** Rank of its requests, before that of their route; 0 goes first. */
  readonly priority: number | undefined;
}

/** Who sends a request, as far as its configuration asks. */
export type Sender =
  /** The configuration has no accounts, and asks no one. */
  | { readonly kind: "unasked" }
  /** No key was shown, and none is needed. */
  | { readonly kind: "anonymous" }
  | {
    readonly kind: "account";
    readonly name: string;
    readonly priority: number | undefined;
  };

/** A sender, or why the request is refused. */
export type KeyCheckResult =
  | Sender
  | { readonly kind: "refused"; readonly reason: string };

/** Gives the name of a sender's client account; empty where it has none. */
export function getAccountName(sender: Sender): string {
  return sender.kind === "account" ? sender.name : "";
}

/** The client accounts of a configuration, found by their keys. */
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

  list(): readonly KeyedAccount[] {
    return this.#accounts;
  }

  /** Finds the account that holds a key. */
  findByKey(key: string): KeyedAccount | undefined {
    if (key === "" || key.length > MAX_KEY_CHARACTERS) return undefined;
    return this.#byKeySha256.get(clientAccounts.hashToken(key));
  }
}

/**
 * Says who sends a request.
 *
 * @param accounts Accounts of the configuration in force; undefined where it
 * has none.
 * @param key The key as it was sent; undefined for none. Several keys in one
 * request are one text that no account holds.
 * @param allowsAnonymous Whether the request's route needs no key.
 * @returns The sender; `refused` for a key that is unknown, on any route, or
 * that is missing where one is needed.
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
 * Finds what makes accounts unfit for use.
 *
 * @param accounts The accounts, in the order of the configuration.
 * @returns The first fault with the path of its field, or undefined.
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

/** Digits of a key's digest that tell keys apart in a log. */
const LOGGED_DIGEST_DIGITS = 8;

/**
 * Describes a key for a log line, which must not show it.
 *
 * @param key The key as it was sent; undefined for none.
 * @returns The first digits of its digest, or `none`.
 */
export function describeKey(key: string | undefined): string {
  if (key === undefined) return "none";
  return clientAccounts.hashToken(key.slice(0, MAX_KEY_CHARACTERS)).slice(
    0,
    LOGGED_DIGEST_DIGITS,
  );
}
