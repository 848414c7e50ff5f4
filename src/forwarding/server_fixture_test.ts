import type * as http from "node:http";
import type * as dialects from "../dialect/mod.ts";

/** The parts of a dialect that forwarding uses. */
export const DIALECT = {
  createForwardHeaders: (
    headers: dialects.HeaderMap,
    marks: dialects.ForwardMarks,
  ) => ({ ...headers, id: marks.requestId, server: marks.server }),
  parseAnswerHead: (headers: dialects.HeaderMap) => ({
    requestId: headers["id"],
    receipt: headers["receipt"],
    isNotRun: headers["not-run"] !== undefined,
    load: undefined,
    weightVersion: undefined,
  }),
} as unknown as dialects.Dialect;

/** What a server does with a request. */
export type Script = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

/** Answers whole, with a receipt. */
export function answer(
  status: number,
  headers: Readonly<Record<string, string>> = {},
): Script {
  return (request, response) => {
    const id = String(request.headers["id"]);
    response.writeHead(status, { id, receipt: "r", ...headers });
    response.end("body");
  };
}
