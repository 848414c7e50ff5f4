import * as chai from "chai";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as backendServers from "../../src/backend_server/mod.ts";
import * as csp from "../../src/csp/mod.ts";
import * as loopbackNetworks from "../../src/fixtures/loopback_network.ts";
import * as engines from "../../src/engine/mod.ts";
import * as steps from "../../src/rollout_step/mod.ts";
import * as engineCores from "../stand_ins/engine_core.ts";
import * as jsonServers from "../stand_ins/json_server.ts";
import * as ledgers from "../stand_ins/ledger.ts";
import * as ledgerVerification from "./verify_ledgers.ts";

const LENGTHS = { median: 6, sigma: 0.3 };
const OPTIONS = { lengths: LENGTHS, sampleTokens: 32, completionTokens: 32 };
const ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.33.1`;
const PORT = 8190;

/** Generates one sample on an engine and verifies it against its ledger. */
async function verifyEngine(
  misbehaviour: engineCores.Misbehaviour,
): Promise<ledgerVerification.LedgerReport> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-judge-"));
  const ledger = new ledgers.LedgerWriter(path.join(folder, "engine.jsonl"));
  const core = new engineCores.EngineCore({
    id: "engine-1",
    index: 1,
    slots: 4,
    stepMs: 1,
    lengths: LENGTHS,
    models: { lm: 3 },
    misbehaviour,
    cachedPrompts: 4,
  }, ledger);
  core.start();
  const server = await jsonServers.startServer(
    ADDRESS,
    PORT,
    ({ json, response }) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      core.add({
        prompt: String(json["prompt"]),
        model: "lm",
        priority: 1,
        position: 0,
        maxTokens: 32,
        response,
      });
    },
  );
  const tokens: number[] = [];
  let spans: readonly steps.VersionSpan[] = [];
  const target = backendServers.backendServerSchema.parse({
    id: "engine-1",
    service: "lm",
    kind: "language",
    address: ADDRESS,
    port: PORT,
    failureDomain: "d",
    state: "live",
  });
  await engines.streamCompletion(target, {
    requestId: "r",
    model: "lm",
    prompt: "p",
    maxTokens: 32,
    priority: 1,
    resumeTokens: [],
  }, {
    timeoutMs: 5_000,
    connectTimeoutMs: 1_000,
    cancellation: new csp.Cancellation(),
    onToken(token) {
      tokens.push(token.tokenId);
      spans = steps.appendToken(spans, token.weightVersion);
    },
  });
  server.close();
  server.closeAllConnections();
  const entries = ledgers.readLedgers(folder);
  fs.rmSync(folder, { recursive: true });
  return ledgerVerification.verifyLedgers(
    [...entries, createSampleEntry({ tokens, spans })],
    OPTIONS,
  );
}

function createSampleEntry(
  fields: Partial<ledgers.SampleEntry>,
): ledgers.SampleEntry {
  return {
    kind: "sample",
    trainer: "t",
    model: "lm",
    step: 1,
    slot: 0,
    prompt: "p",
    sampleId: "s",
    tokens: [],
    spans: [],
    trainerVersion: 3,
    maxVersionsBehind: 1,
    maxAgeMs: 60_000,
    atMs: Date.now(),
    ...fields,
  };
}

function createCall(fields: Partial<ledgers.CallEntry>): ledgers.CallEntry {
  return {
    kind: "call",
    operation: "lookup",
    callId: "c",
    tries: [createTry("answered")],
    isAnswered: true,
    answeredId: "c",
    isWhole: true,
    tokens: [],
    prompt: "p",
    ...fields,
  };
}

function createTry(
  outcome: ledgers.CallAttempt["outcome"],
  sentMs = 0,
): ledgers.CallAttempt {
  return { box: "b", sentMs, endedMs: sentMs, outcome };
}

const SYNC_RUN: ledgers.RunEntry = {
  kind: "run",
  server: "s",
  operation: "sync",
  callId: "c",
  atMs: 9_000,
};

describe("verifyLedgers", () => {
  it("reports no violation for a correct engine", async () => {
    const verdict = await verifyEngine("none");
    chai.expect(verdict).to.include({
      samples: 1,
      wrongProvenance: 0,
      staleSamples: 0,
    });
  });

  for (
    const misbehaviour of ["falseVersion", "dropToken", "swapPrompt"] as const
  ) {
    it(`reports wrong provenance for an engine with ${misbehaviour}`, async () => {
      chai.expect(await verifyEngine(misbehaviour)).to.include({
        wrongProvenance: 1,
      });
    });
  }

  it("counts missing, duplicate and stale samples", () => {
    const segment: ledgers.SegmentEntry = {
      kind: "segment",
      engine: "e",
      prompt: "p",
      model: "lm",
      firstToken: 0,
      firstPosition: 0,
      weightVersion: 1,
      answerLength: 1,
      atMs: 0,
      isFirst: true,
    };
    const step: ledgers.StepEntry = {
      kind: "step",
      trainer: "t",
      step: 1,
      slots: 4,
      received: 3,
      idleMs: 1,
      totalMs: 2,
    };
    const stale = createSampleEntry({ tokens: [0], sampleId: "a" });
    const second = createSampleEntry({ tokens: [0], sampleId: "b" });
    const elsewhere = createSampleEntry({
      tokens: [0],
      sampleId: "b",
      slot: 1,
    });
    const verdict = ledgerVerification.verifyLedgers([
      segment,
      step,
      stale,
      second,
      elsewhere,
    ], OPTIONS);
    chai.expect(verdict).to.include({
      missingSamples: 1,
      duplicateSamples: 2,
      staleSamples: 2,
    });
  });

  it("counts failed, truncated, crossed, doubled and falsely not-run calls", () => {
    const calls = [
      createCall({ isAnswered: false }),
      createCall({ isWhole: false }),
      createCall({ answeredId: "other" }),
      createCall({
        operation: "sync",
        tries: [createTry("notRun")],
        isAnswered: false,
      }),
    ];
    const verdict = ledgerVerification.verifyLedgers(
      [...calls, SYNC_RUN, SYNC_RUN],
      OPTIONS,
    );
    chai.expect(verdict).to.include({
      failedRequests: 2,
      truncatedAnswers: 1,
      crossedAnswers: 1,
      doubledNonRepeatable: 1,
      falseNotRun: 1,
    });
  });

  it("counts work on leaving servers and requests cut off by planned stops", () => {
    const verdict = ledgerVerification.verifyLedgers([
      { kind: "event", event: "leave", target: "s", atMs: 5_000 },
      SYNC_RUN,
      { kind: "event", event: "planStop", target: "b", atMs: 100 },
      { kind: "event", event: "stopped", target: "b", atMs: 200 },
      createCall({
        tries: [createTry("broken", 150), createTry("answered", 160)],
      }),
    ], OPTIONS);
    chai.expect(verdict).to.include({
      workAfterLeave: 1,
      cutOffByPlannedStop: 1,
    });
  });
});
