/** A result code: its number, HTTP status, exit code, meaning and remedy. */
export interface ResultCodeEntry {
  readonly number: number;
  readonly httpStatus: number;
  readonly exitCode: number;
  readonly meaning: string;
  readonly action: string;
}

function createEntry(
  number: number,
  httpStatus: number,
  meaning: string,
  action: string,
): ResultCodeEntry {
  return { number, httpStatus, meaning, action, exitCode: toExitCode(number) };
}

/** Exit codes reserved for each thousand of result numbers. */
const EXIT_CODES_PER_GROUP = 20;

function toExitCode(number: number): number {
  if (number === 0) return 0;
  return Math.floor(number / 1000) * EXIT_CODES_PER_GROUP + number % 1000;
}

/** All result codes by name. */
export const RESULT_CODES = {
  ok: createEntry(0, 200, "Done", "Nothing to do"),
  badSettings: createEntry(
    1001,
    400,
    "The settings file is wrong",
    "Correct each line that the message names",
  ),
  malformedBody: createEntry(
    1002,
    400,
    "The request body can't be read",
    "Send well-formed JSON of the documented shape",
  ),
  bodyTooLarge: createEntry(
    1003,
    413,
    "The request body is too large",
    "Send less, or raise limits.maxBodyBytes",
  ),
  badToken: createEntry(
    1004,
    401,
    "The token is missing or unknown",
    "Send the client account's token",
  ),
  unknownAccount: createEntry(
    1005,
    404,
    "There is no such client account",
    "Check the name, or create the account",
  ),
  unknownTemplate: createEntry(
    1006,
    404,
    "There is no such rollout template",
    "Check the name with `template list`",
  ),
  badParameters: createEntry(
    1007,
    400,
    "A parameter is wrong",
    "Correct the parameter that the message names",
  ),
  wrongRevision: createEntry(
    1008,
    409,
    "The change was made against another revision",
    "Read the current revision and decide anew",
  ),
  unknownRoute: createEntry(
    1009,
    404,
    "There is no such route",
    "Check method and path",
  ),
  missingKey: createEntry(
    1010,
    400,
    "A call that must not be repeated needs an idempotency-key header",
    "Send a key that is unique to the call",
  ),
  keyReused: createEntry(
    1011,
    422,
    "The key was used for another request",
    "Use a new key for a new call",
  ),
  forbidden: createEntry(
    1012,
    403,
    "The token may not do this",
    "Use the token of the account that owns it",
  ),
  senderTooSlow: createEntry(
    1013,
    408,
    "The request did not arrive whole in time",
    "Send the request again",
  ),
  badArguments: createEntry(
    1014,
    400,
    "The command line is wrong",
    "See --help",
  ),
  requestReused: createEntry(
    1015,
    422,
    "The request id was used for another change",
    "Use a new request id for a new change",
  ),
  unknownStep: createEntry(
    1016,
    404,
    "There is no such step",
    "Open the step first",
  ),
  noLease: createEntry(
    2001,
    503,
    "The box holds no configuration lease",
    "Ask for another address",
  ),
  draining: createEntry(
    2002,
    503,
    "The box is being stopped",
    "Ask for another address",
  ),
  noBackendServer: createEntry(
    2003,
    503,
    "No backend server can take the request",
    "Come back after the stated time",
  ),
  overloaded: createEntry(
    2004,
    429,
    "The limit is reached",
    "Come back after the stated time",
  ),
  noLeader: createEntry(
    2005,
    503,
    "No leader is known",
    "Come back after the stated time",
  ),
  deadlineExceeded: createEntry(
    2006,
    504,
    "The deadline has passed",
    "Allow more time",
  ),
  notLeader: createEntry(
    2007,
    503,
    "This replica does not lead",
    "Ask the leader",
  ),
  workHeldBack: createEntry(
    2008,
    503,
    "Backend servers ended while they ran this request; it is held back",
    "Mend the request, or see docs/OPERATIONS.md, `crash.noted`",
  ),
  memoryShort: createEntry(
    2009,
    503,
    "The box holds too many bytes of requests; this one was not run",
    "Come back after the stated time, or use another address",
  ),
  backendFailed: createEntry(
    3001,
    502,
    "The backend server failed; whether the request ran is not known",
    "Check its effect before asking again",
  ),
  unknownOutcome: createEntry(
    3002,
    409,
    "An earlier send of this call may have run; it is not repeated",
    "Check its effect at the service",
  ),
  truncatedAnswer: createEntry(
    3003,
    502,
    "The backend server's answer ended early",
    "Ask again if the request may be repeated",
  ),
  changeUnknown: createEntry(
    3004,
    504,
    "Whether the change was accepted is not known",
    "Send it again with the same request id",
  ),
  crossedAnswer: createEntry(
    3005,
    502,
    "The backend server answered another request",
    "Ask again if the request may be repeated",
  ),
  corruptLog: createEntry(
    4001,
    500,
    "The data folder is corrupt",
    "Replace the box's data folder; see docs/operate/state.md",
  ),
  diskFailed: createEntry(
    4002,
    500,
    "A write to the data folder failed",
    "Check the disk, then start the box again",
  ),
  wrongFolder: createEntry(
    4003,
    500,
    "The data folder belongs to another box or format",
    "Give the box its own data folder",
  ),
  connectFailed: createEntry(
    5001,
    502,
    "The address does not answer",
    "Check the address and the box",
  ),
  internal: createEntry(
    5002,
    500,
    "An internal error",
    "Report it with the log line",
  ),
} as const satisfies Readonly<Record<string, ResultCodeEntry>>;

/** Name of a result code. */
export type ResultCodeName = keyof typeof RESULT_CODES;
