import * as z from "zod";
import * as log from "../log/mod.ts";

const MAX_PORT = 65_535;
const SHA256_HEX = /^[0-9a-f]{64}$/;

const port = z.number().int().min(1).max(MAX_PORT);
const ms = z.number().int().positive();
const name = z.string().regex(
  /^[a-z0-9][a-z0-9_.-]{0,62}$/,
  "must be a lower-case name of at most 63 characters",
);
const httpUrl = z.url({ protocol: /^http$/ });

const box = z.strictObject({
  id: name.describe("Name of the box, unique in the deployment"),
  address: z.ipv4().describe("IP number that the box listens on"),
  failureDomain: name.describe("Failure domain that the box stands in"),
}).readonly();

const listen = z.strictObject({
  callerPort: port.default(8080).describe("Callers and trainers"),
  adminPort: port.default(8081).describe("Operators"),
  peerPort: port.default(8082).describe("Other boxes"),
}).readonly();

const replica = z.strictObject({
  id: name.describe("Box id of a replica of the state"),
  address: z.ipv4(),
  port: port.default(8082),
}).readonly();

const control = z.strictObject({
  dataFolder: z.string().min(1).describe(
    "Folder for all durable files of the box",
  ),
  electionTimeoutMs: ms.default(600).describe(
    "Shortest silence after which a replica asks to lead, in ms",
  ),
  heartbeatMs: ms.default(150).describe(
    "Time between heartbeats of the leader, in ms",
  ),
  snapshotEntries: z.number().int().min(16).default(4_000).describe(
    "Log entries after which a snapshot is taken",
  ),
  claimRetentionMs: ms.default(3_600_000).describe(
    "How long claims and request ids are remembered, in ms",
  ),
}).readonly();

const operation = z.strictObject({
  method: z.enum(["GET", "POST", "PUT", "DELETE"]),
  path: z.string().startsWith("/").describe("Path prefix of the operation"),
  repeatable: z.boolean().describe("Whether a second run is harmless"),
}).readonly();

const service = z.strictObject({
  name,
  kind: z.enum(["language", "plain"]),
  operations: z.array(operation).readonly().default([]),
}).readonly();

const limits = z.strictObject({
  maxBodyBytes: z.number().int().positive().default(1_048_576).describe(
    "Largest request body, in bytes",
  ),
  receiveTimeoutMs: ms.default(10_000).describe(
    "Time in which a request must arrive whole, in ms",
  ),
  requestTimeoutMs: ms.default(30_000).describe(
    "Deadline of a caller's request, in ms",
  ),
  connectTimeoutMs: ms.default(1_000).describe(
    "Time to connect to a backend server, in ms",
  ),
  maxInFlight: z.number().int().positive().default(2_000).describe(
    "Caller requests that a box serves at once",
  ),
  retryBudgetRatio: z.number().min(0).max(1).default(0.1).describe(
    "Retries allowed for each first try",
  ),
}).readonly();

const lease = z.strictObject({
  leaseMs: ms.default(2_000).describe("Length of a configuration lease, in ms"),
  syncWaitMs: ms.default(500).describe(
    "Longest wait of one sync request, in ms",
  ),
}).readonly();

/** Schema of a settings file. */
export const settingsSchema = z.strictObject({
  box,
  listen: listen.prefault({}),
  replicas: z.array(replica).min(1).readonly().describe(
    "The boxes that hold the state",
  ),
  control: control.optional().describe(
    "Present on a box with a disk that holds the state",
  ),
  administration: z.strictObject({
    rootTokenSha256: z.string().regex(
      SHA256_HEX,
      "must be 64 lower-case hex digits",
    ),
  }).readonly(),
  boxList: z.strictObject({ url: httpUrl, pollMs: ms.default(300) }).readonly(),
  weightStore: z.strictObject({ url: httpUrl, pollMs: ms.default(500) })
    .readonly(),
  scorer: z.strictObject({
    url: httpUrl,
    timeoutMs: ms.default(2_000),
    maxInFlight: z.number().int().positive().default(64),
  }).readonly(),
  engines: z.strictObject({
    statusPollMs: ms.default(500).describe(
      "Time between load reports read from a backend server, in ms",
    ),
    maxSwapFraction: z.number().gt(0).max(1).default(0.5).describe(
      "Share of engines that may switch weights at once",
    ),
    orderTimeoutMs: ms.default(4_000).describe(
      "Longest time an order to an engine may take, in ms",
    ),
  }).readonly().prefault({}),
  services: z.array(service).readonly().default([]),
  limits: limits.prefault({}),
  lease: lease.prefault({}),
  addresses: z.strictObject({
    keepMs: ms.default(2_000).describe(
      "How long a caller may keep an address, in ms",
    ),
  }).readonly().prefault({}),
  log: z.strictObject({ level: z.enum(log.LOG_LEVELS).default("info") })
    .readonly().prefault({}),
  metrics: z.strictObject({
    enabled: z.boolean().default(false),
    host: z.ipv4().default("127.0.0.1"),
    port: port.default(8125),
  }).readonly().prefault({}),
}).readonly();

/** Validated settings of a box. */
export type Settings = z.infer<typeof settingsSchema>;

/** Settings of a service and its operations. */
export type ServiceSettings = Settings["services"][number];

/** Settings of one operation of a plain service. */
export type OperationSettings = ServiceSettings["operations"][number];

/** Settings of a box that holds the replicated state. */
export type ControlSettings = NonNullable<Settings["control"]>;
