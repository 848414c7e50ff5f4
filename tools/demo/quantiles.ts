/** Median, 99th percentile and maximum of a distribution. */
export interface Quantiles {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/**
 * Computes quantiles, rounded to integers.
 *
 * @param values The values, in any order.
 * @returns The quantiles; all 0 if there are no values.
 */
export function computeQuantiles(values: readonly number[]): Quantiles {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    p50: getQuantile(sorted, 0.5),
    p99: getQuantile(sorted, 0.99),
    max: getQuantile(sorted, 1),
  };
}

function getQuantile(sorted: readonly number[], share: number): number {
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return Math.round(sorted[index] ?? 0);
}
