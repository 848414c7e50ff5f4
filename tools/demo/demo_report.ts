import * as ledgerVerification from "./verify_ledgers.ts";

/** The demo's result: the verdict and what the operator saw. */
export interface DemoResult extends ledgerVerification.LedgerReport {
  readonly configChanges: number;
  readonly revertedChanges: number;
  readonly inForceMs: { readonly p50: number; readonly max: number };
}

const FAULT_NAMES: readonly (keyof DemoResult)[] = [
  ...ledgerVerification.FAULT_COUNTS,
  "revertedChanges",
];

/**
 * Lists the counts of a result that should be 0 and are not, and work that
 * should have been done and was not.
 *
 * @param result The result.
 * @returns Their names.
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
 * @param result The result.
 * @param faults Faults that were noticed while it ran.
 * @returns Whether there is no fault.
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
