import * as ledgerVerification from "./verify_ledgers.ts";

/** The demo's result: the ledger report and the operator's changes. */
export interface DemoResult extends ledgerVerification.LedgerReport {
  readonly configChanges: number;
  readonly revertedChanges: number;
  /** Time from sending a change until every box serves it, in ms. */
  readonly inForceMs: { readonly p50: number; readonly max: number };
}

const FAULT_NAMES: readonly (keyof DemoResult)[] = [
  ...ledgerVerification.FAULT_COUNTS,
  "revertedChanges",
];

/**
 * Lists the fault counts of a result that are not 0, and the kinds of work of
 * which none was done.
 *
 * @param result The demo's result.
 * @returns Names of the faults.
 */
export function listFaults(result: DemoResult): readonly string[] {
  const missingWork =
    (["steps", "samples", "requests", "configChanges"] as const)
      .filter((name) => result[name] === 0);
  return [
    ...FAULT_NAMES.filter((name) => result[name] !== 0),
    ...missingWork.map((name) => `no ${name}`),
  ];
}

/**
 * Prints a result as a table and as one line of JSON.
 *
 * @param result The demo's result.
 * @param faults Descriptions of faults that occurred during the run.
 * @returns Whether there are no faults.
 */
export function reportResult(
  result: DemoResult,
  faults: readonly string[],
): boolean {
  const allFaults = [...listFaults(result), ...faults];
  const rows = Object.entries(result).map(([name, value]) => {
    const isFault = FAULT_NAMES.includes(name as keyof DemoResult);
    const mark = !isFault ? "" : value === 0 ? "ok" : "FAULT";
    return `  ${name.padEnd(24)}${formatValue(value).padStart(34)}  ${mark}`;
  });
  console.log(
    ["", "what stand-ins, trainers and callers saw:", ...rows, ""].join("\n"),
  );
  if (allFaults.length > 0) console.log(`faults: ${allFaults.join("; ")}`);
  console.log(JSON.stringify(result));
  return allFaults.length === 0;
}

function formatValue(value: unknown): string {
  if (typeof value !== "object" || value === null) return String(value);
  return Object.entries(value).map(([name, item]) => `${name} ${item}`).join(
    ", ",
  );
}
