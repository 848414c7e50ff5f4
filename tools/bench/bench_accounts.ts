/**
 * Measures the cost of a key check and of merging and summing usage totals.
 *
 * @module
 */
import * as accounts from "../../src/client_account/mod.ts";
import * as usages from "../../src/usage/mod.ts";

const ACCOUNT_COUNTS = [80, 100_000];
const CHECK_COUNT = 200_000;
const KEYS_PER_ACCOUNT = 2;
const US_PER_MS = 1_000;
/** Numbers of boxes that report usage, and of client accounts of each box. */
const USAGE_SIZES = [
  { boxes: 69, accounts: 4 },
  { boxes: 330, accounts: 40 },
  { boxes: 330, accounts: 400 },
];

function trimFigure(value: number): number {
  return Math.round(value * 100) / 100;
}

function createKey(account: number, key: number): string {
  return `key-${account}-${key}`;
}

function createAccounts(count: number): accounts.AccountKeys {
  return new accounts.AccountKeys(
    Array.from({ length: count }, (_, account) => ({
      name: `account-${account}`,
      keySha256s: Array.from(
        { length: KEYS_PER_ACCOUNT },
        (_key, key) => accounts.hashToken(createKey(account, key)),
      ),
      priority: 1,
    })),
  );
}

/** Measures the mean time of a key check; half of the keys are unknown. */
function measureKeyChecks(count: number): object {
  const known = createAccounts(count);
  const keys = Array.from(
    { length: CHECK_COUNT },
    (_, index) => createKey(index % (2 * count), index % KEYS_PER_ACCOUNT),
  );
  const startMs = performance.now();
  const found = keys.filter((key) =>
    accounts.checkKey(known, key, false).kind === "account"
  );
  const tookMs = performance.now() - startMs;
  return {
    accounts: count,
    checkUs: trimFigure(tookMs * US_PER_MS / CHECK_COUNT),
    found: found.length,
  };
}

/** Measures merging two reports of one window from every box, then the sum. */
function measureUsageTotals(
  { boxes, accounts: accountsPerBox }: (typeof USAGE_SIZES)[number],
): object {
  const totals = new usages.UsageTotals();
  const startMs = performance.now();
  for (const count of [1, 2]) {
    for (let box = 0; box < boxes; box += 1) {
      for (let account = 0; account < accountsPerBox; account += 1) {
        const name = `account-${(box * accountsPerBox + account) % 100_000}`;
        totals.merge(`${box} 1`, { window: 1, account: name, count });
      }
    }
  }
  const mergedMs = performance.now();
  const sum = totals.sum(1);
  return {
    boxes,
    totals: boxes * accountsPerBox,
    mergeUs: trimFigure(
      (mergedMs - startMs) * US_PER_MS / (2 * boxes * accountsPerBox),
    ),
    sumMs: trimFigure(performance.now() - mergedMs),
    accounts: Object.keys(sum).length,
  };
}

/** Measures key checks and usage totals at growing sizes. */
export function benchAccounts(): void {
  const checks = ACCOUNT_COUNTS.map(measureKeyChecks);
  const merges = USAGE_SIZES.map(measureUsageTotals);
  for (const result of [...checks, ...merges]) {
    console.log(JSON.stringify(result));
  }
  console.log(JSON.stringify({ checks, merges }));
}
