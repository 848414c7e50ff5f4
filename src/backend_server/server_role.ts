/** Roles of an engine: what it may be given. */
export const SERVER_ROLES = ["mixed", "rollout", "caller"] as const;

/** What an engine may be given. */
export type ServerRole = typeof SERVER_ROLES[number];

/** What a request is for. */
export type ServerUse = "rollout" | "caller";

/** The role that operators set for an engine. */
export interface RoleSetting {
  readonly server: string;
  readonly role: ServerRole;
  /** Configuration revision that last changed it. */
  readonly revision: number;
}

/**
 * Tells whether an engine in a role takes requests of a use.
 *
 * @param role The engine's role.
 * @param use What the request is for.
 * @returns Whether it does.
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
