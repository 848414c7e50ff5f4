import * as z from "zod";
import * as durations from "./duration.ts";

/** Descriptors of a process whose settings name none. */
const DEFAULT_FILE_DESCRIPTORS = 4_096;

const portSchema = z.number().int().min(1).max(65_535);

const endpointSchema = z.string().regex(
  /^\d+\.\d+\.\d+\.\d+:\d+$/,
  "must be IP:PORT",
)
  .transform((text): Endpoint => {
    const [address = "", portText = ""] = text.split(":");
    return { address, port: Number(portText) };
  });

/** An IPv4 address and a TCP port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Schema of the settings of a box that discovers the others from seeds. */
export const fleetSettingsSchema = z.object({
  box: z.strictObject({
    name: z.string().min(1).describe("Name of the box, for operators"),
    address: z.string().min(7).describe("IP address, which is the box's id"),
    failureDomain: z.string().min(1),
    region: z.string().min(1),
  }),
  roles: z.strictObject({
    entry: z.boolean().describe("Serves callers, operators and servers"),
    store: z.boolean().describe("Stores submissions and their results"),
  }),
  listen: z.strictObject({
    caller: endpointSchema.optional(),
    ready: endpointSchema.optional(),
    control: endpointSchema.optional(),
    directory: endpointSchema.optional(),
    metrics: portSchema.optional().describe("Port of the metrics endpoint"),
    peerPort: portSchema.describe(
      "Port for connections between boxes, the same on every box",
    ),
  }),
  seeds: z.array(endpointSchema).describe(
    "Boxes to contact at startup; some may be down",
  ),
  isFirstStart: z.boolean().describe(
    "True only for the first start, with all disks empty",
  ),
  dataFolder: z.string().optional().describe("Folder on a persistent disk"),
  memoryMb: z.number().positive().describe(
    "Memory limit of the process, in MB",
  ),
  fileDescriptors: z.number().int().positive().default(
    DEFAULT_FILE_DESCRIPTORS,
  ).describe("Descriptors that the process may open"),
  lossesToBear: z.number().int().min(0).describe(
    "Number of boxes with a disk that may fail at the same time",
  ),
  bounds: z.strictObject({
    heartbeatMs: z.number().positive().describe(
      "Interval of the servers' heartbeats, in ms",
    ),
    stopMs: durations.createDurationSchema(
      "Time from SIGTERM to SIGKILL, in ms",
    ),
    orderLeaseMs: z.number().positive().describe(
      "Minimum time between orders from two boxes to one server, in ms",
    ),
    addressesKeepMs: durations.createDurationSchema(
      "Maximum time for which callers may cache the addresses, in ms",
    ),
    resultsKeepMs: durations.createDurationSchema(
      "Time for which results stay readable after the submission, in ms",
    ),
    usageWindowS: z.number().positive().optional().describe(
      "Length of the windows by which usage is reported, in s",
    ),
    usageLateS: z.number().positive().optional().describe(
      "Time from the end of a window until its report is due, in s",
    ),
  }),
  infrastructure: z.strictObject({
    address: endpointSchema.describe("Address of the HTTP API for duties"),
    duties: z.array(z.string()).describe(
      "Names of the duties that it requires",
    ),
  }).optional().describe("Undefined if the infrastructure requires no duties"),
  capacity: z.strictObject({
    policy: z.enum(["off", "fixed", "planned"]).default("planned").describe(
      "How the number of engines of a scalable service is chosen: not at all (off), its initial number (fixed), or by demand (planned)",
    ),
    headroom: z.number().min(1).max(4).default(1.2).describe(
      "Slots to provide for each one that open steps require, under the planned policy",
    ),
  }).default({ policy: "planned", headroom: 1.2 }),
  log: z.strictObject({
    level: z.enum(["trace", "debug", "info", "warn", "error"]).default("info"),
  }).default({ level: "info" }),
});

/** Checked settings of a box. */
export type FleetSettings = z.output<typeof fleetSettingsSchema>;
