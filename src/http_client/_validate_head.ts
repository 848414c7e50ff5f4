import type * as http from "node:http";
import * as canAcceptCodings from "./_can_accept_coding.ts";

/** Statuses of final responses (RFC 9110, section 15). */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

/** A reason phrase (RFC 9112, section 4): no control characters but tabs. */
const REASON_PHRASE = /^[\t\x20-\x7e\x80-\xff]*$/;
const MAJOR_VERSION = 1;
/** The only transfer coding that is read; any other hides where the body ends. */
const CHUNKED = "chunked";

/** The parts of a response that {@linkcode validateHead} checks. */
export type ParsedHead = Pick<
  http.IncomingMessage,
  | "headers"
  | "httpVersion"
  | "httpVersionMajor"
  | "statusCode"
  | "statusMessage"
>;

/**
 * Checks what Node's parser lets pass in the head of a final response.
 *
 * @param head The head.
 * @param acceptEncoding Value of the request's `accept-encoding` header, if any.
 * @returns Why the response is no answer to its request, or undefined if it is one.
 */
export function validateHead(
  head: ParsedHead,
  acceptEncoding: http.OutgoingHttpHeader | undefined,
): string | undefined {
  return findStatusLineProblem(head) ??
    findCodingProblem(head, acceptEncoding);
}

function findStatusLineProblem(head: ParsedHead): string | undefined {
  const { statusCode: status = 0, statusMessage = "" } = head;
  if (status < MIN_STATUS || status > MAX_STATUS) {
    return `the status ${status} is not that of an answer`;
  }
  if (head.httpVersionMajor !== MAJOR_VERSION) {
    return `the protocol version is ${head.httpVersion}`;
  }
  if (!REASON_PHRASE.test(statusMessage)) {
    return "the reason phrase holds a control character";
  }
  return undefined;
}

function findCodingProblem(
  { headers }: ParsedHead,
  acceptEncoding: http.OutgoingHttpHeader | undefined,
): string | undefined {
  const transferCoding = headers["transfer-encoding"] ?? CHUNKED;
  if (transferCoding.toLowerCase() !== CHUNKED) {
    return "the transfer coding is not chunked";
  }
  const contentCoding = headers["content-encoding"];
  if (contentCoding === undefined) return undefined;
  return canAcceptCodings.canAcceptCoding(
      String(acceptEncoding ?? ""),
      contentCoding,
    )
    ? undefined
    : "the content coding was not asked for";
}
