import * as chai from "chai";
import * as accountKeys from "./account_keys.ts";
import * as clientAccounts from "./client_account.ts";

function createAccount(
  name: string,
  keys: readonly string[],
  priority?: number,
): accountKeys.KeyedAccount {
  return { name, keySha256s: keys.map(clientAccounts.hashToken), priority };
}

const ACCOUNTS = new accountKeys.AccountKeys([
  createAccount("north", ["n-1", "n-2"], 1),
  createAccount("south", []),
]);

describe("keys of client accounts", () => {
  const cases: readonly (readonly [
    what: string,
    key: string | undefined,
    allowsAnonymous: boolean,
    verdict: accountKeys.KeyCheckResult["kind"],
  ])[] = [
    ["a key of an account", "n-2", false, "account"],
    ["a key where none is needed", "n-1", true, "account"],
    ["no key where none is needed", undefined, true, "anonymous"],
    ["no key", undefined, false, "refused"],
    ["an unknown key", "x", false, "refused"],
    ["an unknown key where none is needed", "x", true, "refused"],
    ["an empty key", "", true, "refused"],
    ["two keys at once", "n-1, n-2", false, "refused"],
    ["a key of 64 KB", "n".repeat(65_536), false, "refused"],
  ];
  for (const [what, key, allowsAnonymous, verdict] of cases) {
    it(`judges ${what}: ${verdict}`, () => {
      const result = accountKeys.checkKey(ACCOUNTS, key, allowsAnonymous);
      chai.expect(result.kind).to.equal(verdict);
    });
  }

  it("names the account and its priority", () => {
    chai.expect(accountKeys.checkKey(ACCOUNTS, "n-1", false)).to.deep.equal({
      kind: "account",
      name: "north",
      priority: 1,
    });
  });

  it("asks no one where the configuration has no accounts", () => {
    chai.expect(accountKeys.checkKey(undefined, "x", false).kind).to.equal(
      "unasked",
    );
  });

  const errorCases: Readonly<
    Record<string, readonly accountKeys.KeyedAccount[]>
  > = {
    "accounts.1.keys.0: north and south share it": [
      createAccount("north", ["a", "b"]),
      createAccount("south", ["b"]),
    ],
    "accounts.1.name: north stands twice": [
      createAccount("north", []),
      createAccount("north", ["a"]),
    ],
    "accounts.0.name: it is empty": [createAccount("", [])],
  };
  for (const [error, accounts] of Object.entries(errorCases)) {
    it(`finds a fault: ${error}`, () => {
      chai.expect(accountKeys.findAccountError(accounts)).to.equal(error);
    });
  }

  it("finds no fault where an account lists one key twice", () => {
    const accounts = [createAccount("north", ["a", "a"])];
    chai.expect(accountKeys.findAccountError(accounts)).to.equal(undefined);
  });

  it("describes a key without showing it", () => {
    const shown = accountKeys.describeKey("secret-key");
    chai.expect(shown).to.match(/^[0-9a-f]{8}$/);
    chai.expect(accountKeys.describeKey(undefined)).to.equal("none");
  });
});
