import * as z from "zod";

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

/** Schema of the settings of a box that finds the others by seeds. */
export const fleetSettingsSchema = z.object({
  box: z.strictObject({
    name: z.string().min(1).describe("Name that operators use for the box"),
    address: z.string().min(7).describe("IP address; it is the box's id"),
    failureDomain: z.string().min(1),
    region: z.string().min(1),
  }),
  roles: z.strictObject({
    entry: z.boolean().describe("Serves callers, operators and servers"),
    store: z.boolean().describe("Keeps submissions and their results"),
  }),
  listen: z.strictObject({
    caller: endpointSchema.optional(),
    ready: endpointSchema.optional(),
    control: endpointSchema.optional(),
    directory: endpointSchema.optional(),
    metrics: portSchema.optional().describe("Port of the metrics page"),
    peerPort: portSchema.describe(
      "Port for other boxes, the same on every box",
    ),
  }),
  seeds: z.array(endpointSchema).describe(
    "Boxes to ask first; they may be gone",
  ),
  isFirstStart: z.boolean().describe("True once, when all disks are empty"),
  dataFolder: z.string().optional().describe("Folder on a lasting disk"),
  memoryMb: z.number().positive().describe("Limit of the process, in MB"),
  lossesToBear: z.number().int().min(0).describe(
    "Boxes with a disk that may be lost at once",
  ),
  bounds: z.strictObject({
    heartbeatMs: z.number().positive().describe("Between servers' heartbeats"),
    stopMs: z.number().positive().describe("From SIGTERM to SIGKILL, in ms"),
    orderLeaseMs: z.number().positive().describe(
      "Shortest time between orders of two boxes to one server, in ms",
    ),
    addressesKeepMs: z.number().positive().describe(
      "Longest time that callers may keep an answer, in ms",
    ),
    resultsKeepMs: z.number().positive().describe(
      "How long results stay readable after the submission, in ms",
    ),
    usageWindowS: z.number().positive().optional().describe(
      "Length of the windows in which usage is reported, in s",
    ),
    usageLateS: z.number().positive().optional().describe(
      "When the report of a window is due after its end, in s",
    ),
  }),
  infrastructure: z.strictObject({
    address: endpointSchema.describe("Where it takes calls of duties"),
    duties: z.array(z.string()).describe("Duties that it asks for"),
  }).optional().describe("Undefined where there are no such duties"),
  capacity: z.strictObject({
    policy: z.enum(["off", "fixed", "planned"]).default("planned").describe(
      "Who decides how many engines run where a service may be scaled: nobody, their first number, the work",
    ),
    headroom: z.number().min(1).max(4).default(1.2).describe(
      "Places for each one that open steps need, for the planned policy",
    ),
  }).default({ policy: "planned", headroom: 1.2 }),
  log: z.strictObject({
    level: z.enum(["trace", "debug", "info", "warn", "error"]).default("info"),
  }).default({ level: "info" }),
});

/** Checked settings of a box. */
export type FleetSettings = z.output<typeof fleetSettingsSchema>;
