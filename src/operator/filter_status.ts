import type * as control from "../control/mod.ts";
import type * as templates from "../rollout_template/mod.ts";

type Status = Extract<control.StatusReply, { readonly kind: "status" }>;

/**
 * Limits a status to what the operator of one client account may see: no
 * model of another account, and no role that the root operator set.
 *
 * @param status The whole status.
 * @param account The operator's client account.
 * @param allTemplates All rollout templates.
 * @returns The status without what belongs to others.
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
