import * as cascades from "../deployment/topology.ts";
import * as deployments from "../deployment/deployment.ts";

/** Model whose versions give the leader orders to send. */
export const MODEL = "sommelier-lm";

/** Path of the template that is changed. */
export const TEMPLATE_PATH = "/v1/accounts/cascade/templates/notes";

/** What a deployment for control benches is made of. */
export interface ControlDeploymentOptions {
  readonly folder: string;
  readonly boxes: readonly cascades.DeployedBox[];
  /** A box that reaches the replicas through relays. */
  readonly relayedBox?: string;
}

/**
 * Builds a deployment that is almost all control: one engine, one plain server.
 *
 * @param options Folder and boxes.
 * @returns The deployment, not started.
 */
export function createControlDeployment(
  options: ControlDeploymentOptions,
): deployments.Deployment {
  return new deployments.Deployment({
    ...options,
    servers: cascades.listServers(1, 1),
    models: { [MODEL]: 1 },
    engine: {
      slots: 4,
      stepMs: 20,
      lengths: { median: 10, sigma: 0.1 },
      swapMs: 50,
      failedSwaps: 0,
    },
    plain: { callMs: 1, slots: 8 },
    downloadsPerSecond: 4,
  });
}
