import type * as csp from "../csp/mod.ts";
import * as dialects from "../dialect/mod.ts";
import * as eventStreams from "../event_stream/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverCalls from "../server_call/mod.ts";
import type * as jobs from "./forward_job.ts";

/** Limit for opening a connection, in ms. */
const CONNECT_TIMEOUT_MS = 250;
/** Maximum size of an answer body, in bytes. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
const MIN_NON_SUCCESS_STATUS = 300;
const FIRST_ERROR_STATUS = 500;

/** One attempt of a job at one server. */
export interface AttemptOptions {
  readonly job: jobs.ForwardJob;
  readonly server: registry.RegisteredServer;
  readonly dialect: dialects.Dialect;
  readonly timeoutMs: number;
  readonly cancellation: csp.Cancellation;
}

/** Sends a job to one server over HTTP and classifies the result. */
export async function sendAttempt(
  options: AttemptOptions,
): Promise<jobs.AttemptOutcome> {
  const { job, server, dialect, timeoutMs, cancellation } = options;
  const outcome = await httpClient.sendRequest({
    address: server.address,
    port: server.port,
    method: job.method,
    path: job.target,
    headers: dialect.createForwardHeaders(job.headers, {
      requestId: job.requestId,
      sender: job.sender,
      server: server.id,
      deadlineMs: Math.max(1, Math.floor(timeoutMs)),
    }),
    body: job.body,
    requestId: job.requestId,
    timeoutMs,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxResponseBytes: MAX_ANSWER_BYTES,
    isFreshConnection: !job.isRepeatable,
    checkHead: (head) => findHeadProblem(options, head),
    cancellation,
  });
  switch (outcome.kind) {
    case "notSent":
      return { kind: "notRun", reason: outcome.message, isBusy: false };
    case "broken":
      return {
        kind: "broken",
        reason: outcome.message,
        isClosed: outcome.isClosed,
      };
    case "answered":
      return await evaluateAnswer(options, outcome.head, outcome.body);
  }
}

/** Returns why an answer head is not acceptable, or undefined if it is. */
function findHeadProblem(
  { dialect, job }: AttemptOptions,
  { status, headers }: httpClient.ResponseHead,
): string | undefined {
  const head = dialect.parseAnswerHead(headers);
  return dialects.isForeignAnswer(status, head, job.requestId)
    ? "the answer belongs to another request"
    : undefined;
}

function evaluateAnswer(
  options: AttemptOptions,
  { status, headers }: httpClient.ResponseHead,
  body: Buffer,
): jobs.AttemptOutcome | Promise<jobs.AttemptOutcome> {
  const head = options.dialect.parseAnswerHead(headers);
  if (head.isNotRun || status === httpClient.MISDIRECTED_STATUS) {
    const reason = `the server refused with ${status}`;
    const isWrongServer = status === httpClient.MISDIRECTED_STATUS;
    return {
      kind: "notRun",
      reason,
      isBusy: !isWrongServer,
      isWrongServer,
      load: head.load,
    };
  }
  if (head.receipt === undefined && status < FIRST_ERROR_STATUS) {
    const reason = "the answer has no receipt";
    return { kind: "broken", reason, isClosed: false };
  }
  const { id: server } = options.server;
  const isFramed = httpClient.isFramed({ headers });
  const answer = { server, status, headers, head, body, isFramed };
  const isStream = options.job.isStream === true &&
    status < MIN_NON_SUCCESS_STATUS;
  return isStream
    ? evaluateStream(options, answer)
    : { kind: "answered", answer };
}

/** Classifies a successful answer that must be a whole stream of events. */
async function evaluateStream(
  options: AttemptOptions,
  answer: jobs.ServerAnswer,
): Promise<jobs.AttemptOutcome> {
  const end = await serverCalls.checkStreamEnd({
    ...options,
    isAfterEvent: eventStreams.isWholeStream(answer.body),
    isFramed: answer.isFramed,
  });
  if (end.kind !== "cut") return { kind: "answered", answer };
  const { reason, isClosed } = end;
  return { kind: "broken", reason, isClosed };
}
