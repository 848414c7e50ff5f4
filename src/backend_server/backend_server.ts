import * as z from "zod";

/** A server behind the system, as the box list tells. */
export const backendServerSchema = z.object({
  id: z.string().min(1),
  service: z.string().min(1),
  kind: z.enum(["language", "plain"]),
  address: z.ipv4(),
  port: z.number().int(),
  failureDomain: z.string(),
  state: z.enum(["live", "leaving"]),
  /** Whether it refuses orders with an old fencing number. */
  checksFence: z.boolean().default(false),
}).readonly();

/** A server behind the system. */
export type BackendServer = z.infer<typeof backendServerSchema>;
