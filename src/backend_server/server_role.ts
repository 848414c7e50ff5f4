/** Roles of an engine: `mixed` serves every use, the others only their own. */
export const SERVER_ROLES = ["mixed", "rollout", "caller"] as const;

/** Which requests an engine serves. */
export type ServerRole = typeof SERVER_ROLES[number];

/** Purpose of a request: a trainer's rollout or a caller's completion. */
export type ServerUse = "rollout" | "caller";

/** A role that an operator set for an engine. */
export interface RoleSetting {
  readonly server: string;
  readonly role: ServerRole;
  /** Configuration revision that last changed the role. */
  readonly revision: number;
}

/**
 * Checks whether an engine with a role serves requests of a use.
 *
 * @param role The engine's role.
 * @param use The request's purpose.
 * @returns True for `mixed` and for a role equal to the use.
 */
export function canServeUse(role: ServerRole, use: ServerUse): boolean {
  switch (role) {
    case "mixed":
      return true;
    case "rollout":
    case "caller":
      return role === use;
  }
}
