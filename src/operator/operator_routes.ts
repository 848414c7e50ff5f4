/** What an operator may ask. */
export type OperatorRoute =
  | { readonly kind: "getAccount"; readonly account: string }
  | { readonly kind: "setAccount"; readonly account: string }
  | { readonly kind: "listTemplates"; readonly account: string }
  | {
    readonly kind: "getTemplate";
    readonly account: string;
    readonly template: string;
  }
  | {
    readonly kind: "setTemplate";
    readonly account: string;
    readonly template: string;
  }
  | { readonly kind: "getRole"; readonly server: string }
  | { readonly kind: "setRole"; readonly server: string }
  | { readonly kind: "audit"; readonly query: URLSearchParams }
  | { readonly kind: "status" }
  | { readonly kind: "drain" }
  | { readonly kind: "logLevel" }
  | { readonly kind: "unknown" };

const NAME_PATTERN = "([a-z0-9][a-z0-9_.-]{0,62})";
const SERVER_PATH = new RegExp(`^/v1/servers/${NAME_PATTERN}/role$`);
const ACCOUNT_PATH = new RegExp(`^/v1/accounts/${NAME_PATTERN}$`);
const TEMPLATES_PATH = new RegExp(`^/v1/accounts/${NAME_PATTERN}/templates$`);
const TEMPLATE_PATH = new RegExp(
  `^/v1/accounts/${NAME_PATTERN}/templates/${NAME_PATTERN}$`,
);

function findServerRoute(method: string, path: string): OperatorRoute {
  const server = SERVER_PATH.exec(path)?.[1];
  if (server !== undefined && method === "GET") {
    return { kind: "getRole", server };
  }
  if (server !== undefined && method === "PUT") {
    return { kind: "setRole", server };
  }
  return { kind: "unknown" };
}

function findAccountRoute(method: string, path: string): OperatorRoute {
  const account = ACCOUNT_PATH.exec(path)?.[1];
  if (account !== undefined && method === "GET") {
    return { kind: "getAccount", account };
  }
  if (account !== undefined && method === "PUT") {
    return { kind: "setAccount", account };
  }
  const listedAccount = TEMPLATES_PATH.exec(path)?.[1];
  if (listedAccount !== undefined && method === "GET") {
    return { kind: "listTemplates", account: listedAccount };
  }
  const match = TEMPLATE_PATH.exec(path);
  const [, owner, template] = match ?? [];
  if (owner === undefined || template === undefined) return { kind: "unknown" };
  if (method === "GET") {
    return { kind: "getTemplate", account: owner, template };
  }
  if (method === "PUT") {
    return { kind: "setTemplate", account: owner, template };
  }
  return { kind: "unknown" };
}

/**
 * Finds the route of an operator's request.
 *
 * @param method HTTP method.
 * @param url Path and query.
 * @returns The route; `unknown` if there is none.
 */
export function findOperatorRoute(method: string, url: string): OperatorRoute {
  const { pathname, searchParams } = new URL(url, "http://box");
  switch (`${method} ${pathname}`) {
    case "GET /v1/audit":
      return { kind: "audit", query: searchParams };
    case "GET /v1/status":
      return { kind: "status" };
    case "POST /v1/drain":
      return { kind: "drain" };
    case "PUT /v1/log-level":
      return { kind: "logLevel" };
    default:
      return pathname.startsWith("/v1/servers/")
        ? findServerRoute(method, pathname)
        : findAccountRoute(method, pathname);
  }
}
