import type * as dialects from "../dialect/mod.ts";

/** The parts of a dialect that weight orders use. */
export const DIALECT = {
  createReportRequest: () => ({
    method: "GET",
    target: "/state",
    headers: {},
    body: undefined,
  }),
  createVersionOrder: (order: dialects.VersionOrder) => ({
    method: "POST",
    target: "/order",
    headers: {},
    body: JSON.stringify(order),
  }),
  parseAnswerHead: (headers: dialects.HeaderMap) => ({
    requestId: headers["id"],
  }),
  parseEngineReport: (body: Buffer) => ({
    kind: "ok",
    value: JSON.parse(String(body)),
  }),
  parseOrderAnswer: (body: Buffer) => JSON.parse(String(body)).born,
} as unknown as dialects.Dialect;
