import type * as control from "../control/mod.ts";
import type * as templates from "../rollout_template/mod.ts";

type Status = Extract<control.StatusReply, { readonly kind: "status" }>;

/**
 * Removes from a status what an operator of one client account must not see:
 * models that no template of the account uses, and the roles of engines.
 *
 * @param status The complete status.
 * @param account Id of the operator's client account.
 * @param allTemplates Rollout templates of all accounts.
 * @returns The filtered status.
 */
export function filterStatus(
  status: Status,
  account: string,
  allTemplates: readonly templates.RolloutTemplate[],
): Status {
  const own = new Set(
    allTemplates.filter((template) => template.account === account)
      .map((template) => template.parameters.model),
  );
  const models = status.models.filter((entry) => own.has(entry.model));
  return { ...status, models, roles: [] };
}
