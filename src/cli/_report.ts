import * as results from "../results/mod.ts";

/** Prints a failure to stderr and returns the exit code of its result. */
export function reportFailure(failure: results.Failure): number {
  const entry = results.RESULT_CODES[failure.code];
  process.stderr.write(`${failure.message}\n`);
  process.stderr.write(
    `code=${entry.number} name=${failure.code} outcome=${failure.outcome}\n`,
  );
  return entry.exitCode;
}

/** Prints a value to stdout, as JSON or formatted as text, and returns 0. */
export function reportValue(
  value: unknown,
  isJson: boolean,
  format: (value: never) => string,
): number {
  const text = isJson ? JSON.stringify(value) : format(value as never);
  process.stdout.write(`${text}\n`);
  return 0;
}

/** Formats rows as left-aligned columns, as wide as their longest cells. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  return rows
    .map((row) =>
      row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
        .trimEnd()
    )
    .join("\n");
}
