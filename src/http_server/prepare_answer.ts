import type * as http from "node:http";
import * as earlyAnswers from "./_early_answer.ts";
import * as holdAnswers from "./_hold_answer.ts";

/**
 * Prepares a response to send a whole answer: its bytes count as held until they are
 * taken, and a request whose body has not arrived whole is read on only a little.
 *
 * @param response The response, before its head is written.
 * @param body The whole body of the answer.
 */
export function prepareAnswer(
  response: http.ServerResponse,
  body: Buffer,
): void {
  earlyAnswers.prepareEarlyAnswer(response.req, response);
  holdAnswers.holdAnswer(response, body);
}
