import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as itemFixtures from "../submission/item_fixture_test.ts";
import * as runItem from "./run_item.ts";
import type * as textProgresses from "./text_progress.ts";

export const ITEM = itemFixtures.createItem("item-1", {
  tokens: 100,
  headers: { "x-kept": "yes" },
  body: Buffer.from("prompt").toString("base64"),
});

/** Request target of an engine's state. */
export const STATE_TARGET = "/state";

/** Dialect stub with the members that a run uses. */
export const DIALECT = {
  versionField: "version",
  createForwardHeaders: (
    headers: dialects.HeaderMap,
    marks: dialects.ForwardMetadata,
  ) => ({ ...headers, id: marks.requestId, after: String(marks.lastEventId) }),
  parseAnswerHead: (headers: dialects.HeaderMap) => ({
    requestId: headers["id"],
    receipt: undefined,
    isNotRun: headers["not-run"] !== undefined,
    load: undefined,
    weightVersion: headers["version"] === undefined
      ? undefined
      : Number(headers["version"]),
  }),
  createReportRequest: () => ({
    method: "GET",
    target: STATE_TARGET,
    headers: {},
    body: undefined,
  }),
  parseEngineReport: (body: Buffer) => ({
    kind: "ok",
    value: JSON.parse(String(body)),
  }),
} as unknown as dialects.Dialect;

/**
 * Runs the item once.
 *
 * @param progress Text to append to.
 * @param changes The engine, and options that replace the defaults.
 * @returns Outcome of the run.
 */
export function runOnce(
  progress: textProgresses.TextProgress,
  changes: Partial<runItem.RunItemOptions> & {
    readonly engine: registry.RegisteredServer;
  },
): Promise<runItem.RunOutcome> {
  return runItem.runItem({
    clock: new clocks.SystemClock(),
    dialect: DIALECT,
    item: ITEM,
    sender: { kind: "unasked" },
    host: "a.example",
    minimumVersion: 2,
    isSingleVersion: false,
    progress,
    stallTimeoutMs: 10_000,
    cancellation: new csp.Cancellation(),
    onEvent: () => {},
    onVersion: () => {},
    ...changes,
  });
}
