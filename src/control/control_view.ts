import type * as accounts from "../client_account/mod.ts";
import type * as models from "../model_version/mod.ts";
import * as templates from "../rollout_template/mod.ts";
import type * as protocols from "./protocol.ts";

/** What a box holds of the configuration and the membership. */
export interface ControlView {
  readonly revision: number;
  readonly accounts: ReadonlyMap<string, accounts.ClientAccount>;
  /** Accounts by the SHA-256 of each of their tokens. */
  readonly accountsByToken: ReadonlyMap<string, accounts.ClientAccount>;
  readonly templates: ReadonlyMap<string, templates.RolloutTemplate>;
  readonly models: ReadonlyMap<string, models.ModelVersion>;
  readonly membership: protocols.Membership;
}

/** A box that holds nothing. */
export const EMPTY_VIEW: ControlView = {
  revision: 0,
  accounts: new Map(),
  accountsByToken: new Map(),
  templates: new Map(),
  models: new Map(),
  membership: { version: "", boxes: [], servers: [] },
};

function mapAccountsByToken(
  accountsById: ReadonlyMap<string, accounts.ClientAccount>,
): ReadonlyMap<string, accounts.ClientAccount> {
  return new Map(
    [...accountsById.values()].flatMap((account) =>
      account.tokenSha256s.map((hash) => [hash, account] as const)
    ),
  );
}

/**
 * Takes a change into the view; an older revision is never taken.
 *
 * @param view The view.
 * @param change Values newer than the view's revision.
 * @returns The new view.
 */
export function applyChange(
  view: ControlView,
  change: protocols.ConfigChange,
): ControlView {
  if (change.revision <= view.revision) return view;
  const accountsById = new Map([
    ...view.accounts,
    ...change.accounts.map((item) => [item.id, item] as const),
  ]);
  return {
    ...view,
    revision: change.revision,
    accounts: accountsById,
    accountsByToken: mapAccountsByToken(accountsById),
    templates: new Map([
      ...view.templates,
      ...change.templates.map((item) =>
        [templates.formatTemplateKey(item.account, item.name), item] as const
      ),
    ]),
    models: new Map([
      ...view.models,
      ...change.models.map((item) => [item.model, item] as const),
    ]),
  };
}
