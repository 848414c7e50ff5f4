import * as z from "zod";

/** Schema of a backend server's entry in the box list. */
export const backendServerSchema = z.object({
  id: z.string().min(1),
  service: z.string().min(1),
  kind: z.enum(["language", "plain"]),
  address: z.ipv4(),
  port: z.number().int(),
  failureDomain: z.string(),
  state: z.enum(["live", "leaving"]),
  /** Whether the server rejects orders with an outdated fencing number. */
  checksFence: z.boolean().default(false),
}).readonly();

/**
 * A model engine (`language`) or an application server (`plain`) to which
 * requests are forwarded.
 */
export type BackendServer = z.infer<typeof backendServerSchema>;
