import * as z from "zod";
import type * as accounts from "../client_account/mod.ts";
import * as checks from "../change_check/mod.ts";
import type * as results from "../results/mod.ts";

const MAX_GROUP_SIZE = 256;
const MAX_TOKENS = 131_072;
const MAX_PRIORITY = 9;

/** Parameters that operators set on a rollout template. */
export const templateParametersSchema = z.strictObject({
  trainer: z.string().min(1).describe("Trainer that is fed"),
  model: z.string().min(1).describe("Model that generates the samples"),
  minWeightVersion: z.number().int().min(0).default(0)
    .describe("Oldest weight version that may serve it"),
  stalenessVersions: z.number().int().min(0).optional()
    .describe("Bound in versions; tighter than the account's"),
  stalenessMs: z.number().int().positive().optional()
    .describe("Bound in ms; tighter than the account's"),
  groupSize: z.number().int().min(1).max(MAX_GROUP_SIZE).default(4)
    .describe("Samples for each prompt"),
  maxTokens: z.number().int().min(1).max(MAX_TOKENS).default(512)
    .describe("Longest sample, in tokens"),
  maxConcurrent: z.number().int().min(1).default(64)
    .describe("Samples of a step generated at once"),
  priority: z.number().int().min(0).max(MAX_PRIORITY).default(3)
    .describe("0 yields to all, 9 yields to none"),
}).readonly();

/** Validated parameters of a rollout template. */
export type TemplateParameters = z.infer<typeof templateParametersSchema>;

/** A rollout template of a client account. */
export interface RolloutTemplate {
  readonly account: string;
  readonly name: string;
  readonly parameters: TemplateParameters;
  /** Configuration revision of the last change. */
  readonly revision: number;
}

/** Maximum staleness of a sample. */
export interface StalenessBound {
  /** Maximum lag behind the current weight version, in versions. */
  readonly versions: number;
  /** Maximum age, in ms. */
  readonly ageMs: number;
}

/**
 * Gets the staleness bound in force: the tighter of the bounds of a rollout
 * template and its client account.
 *
 * @param template The rollout template.
 * @param account The client account of the template.
 * @returns The staleness bound.
 */
export function getStalenessBound(
  template: RolloutTemplate,
  account: accounts.ClientAccount,
): StalenessBound {
  const { parameters } = template;
  const { policy } = account;
  return {
    versions: Math.min(
      policy.stalenessVersions,
      parameters.stalenessVersions ?? policy.stalenessVersions,
    ),
    ageMs: Math.min(
      policy.stalenessMs,
      parameters.stalenessMs ?? policy.stalenessMs,
    ),
  };
}

/**
 * Merges a change into the parameters of a rollout template and validates them.
 *
 * @param current Current parameters; undefined for a new template.
 * @param change Values to set; null removes a value.
 * @returns The new parameters, or `badParameters` with each invalid value.
 */
export function checkParameters(
  current: TemplateParameters | undefined,
  change: Readonly<Record<string, unknown>>,
): results.Result<TemplateParameters> {
  return checks.checkChange(templateParametersSchema, current, change);
}

/**
 * Formats the key of a rollout template in the replicated state.
 *
 * @param account Id of the client account.
 * @param name Name of the template.
 * @returns The key.
 */
export function formatTemplateKey(account: string, name: string): string {
  return `${account}/${name}`;
}
