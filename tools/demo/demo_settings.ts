/** Sizes, times and accounts of the demo. */

export const FOLDER = "out/demo";
export const RUN_MS = 50_000;
export const SAMPLE_TOKENS = 256;
export const COMPLETION_TOKENS = 96;
export const LENGTHS = { median: 40, sigma: 0.8 };
export const START_TIMEOUT_MS = 20_000;
export const IN_FORCE_TIMEOUT_MS = 10_000;
export const CHANGE_INTERVAL_MS = 3_000;
export const PROGRESS_INTERVAL_MS = 5_000;
export const MODELS = { "sommelier-lm": 1, "sommelier-lm:nordeste": 1 };

/** A client account of the demo with its trainer. */
export interface DemoAccount {
  readonly account: string;
  readonly token: string;
  readonly trainer: string;
  readonly model: string;
  readonly stalenessVersions: number;
  readonly stalenessMs: number;
  readonly groups: number;
  readonly groupSize: number;
}

export const ACCOUNTS: readonly DemoAccount[] = [
  {
    account: "cascade",
    token: "cascade-token-demo",
    trainer: "cellar",
    model: "sommelier-lm",
    stalenessVersions: 1,
    stalenessMs: 20_000,
    groups: 8,
    groupSize: 4,
  },
  {
    account: "nordeste",
    token: "nordeste-token-demo",
    trainer: "scooter",
    model: "sommelier-lm:nordeste",
    stalenessVersions: 3,
    stalenessMs: 40_000,
    groups: 12,
    groupSize: 4,
  },
];
export const TEMPLATE = "notes";
export const WATCHED_ACCOUNT = "cascade";
