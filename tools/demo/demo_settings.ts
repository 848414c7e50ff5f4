/** Folder for the deployment's settings, data, logs and ledgers. */
export const FOLDER = "out/demo";
/** Time for which trainers and callers run, in ms. */
export const RUN_MS = 50_000;
/** Maximum tokens of a sample. */
export const SAMPLE_TOKENS = 256;
/** Maximum tokens of a caller's completion. */
export const COMPLETION_TOKENS = 96;
/** Parameters of the log-normal answer lengths, in tokens. */
export const LENGTHS = { median: 40, sigma: 0.8 };
/** Maximum time until all boxes and servers are listed, in ms. */
export const START_TIMEOUT_MS = 20_000;
/** Maximum time until a change is in force on every box, in ms. */
export const IN_FORCE_TIMEOUT_MS = 10_000;
/** Pause between two changes, in ms. */
export const CHANGE_INTERVAL_MS = 3_000;
/** Time between two progress lines, in ms. */
export const PROGRESS_INTERVAL_MS = 5_000;
/** Initial weight version by model. */
export const MODELS = { "sommelier-lm": 1, "sommelier-lm:nordeste": 1 };

/** A client account with its trainer. */
export interface DemoAccount {
  readonly account: string;
  readonly token: string;
  readonly trainer: string;
  readonly model: string;
  /** Staleness bound in weight versions. */
  readonly stalenessVersions: number;
  /** Staleness bound in ms. */
  readonly stalenessMs: number;
  /** Groups per step. */
  readonly groups: number;
  /** Samples per group. */
  readonly groupSize: number;
}

/** The demo's client accounts. */
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
/** Name of every account's rollout template. */
export const TEMPLATE = "notes";
/** Account whose template is changed and watched during the run. */
export const WATCHED_ACCOUNT = "cascade";
