import * as topologies from "../deployment/topology.ts";
import * as deployments from "../deployment/deployment.ts";

/** Model whose new weight versions cause orders from the leader. */
export const MODEL = "sommelier-lm";

/** Admin path of the rollout template that the benches change. */
export const TEMPLATE_PATH = "/v1/accounts/cascade/templates/notes";

/** Options of a deployment for the control benches. */
export interface ControlDeploymentOptions {
  readonly folder: string;
  readonly boxes: readonly topologies.DeployedBox[];
  /** Box whose traffic with the replicas passes through relays. */
  readonly relayedBox?: string;
}

/**
 * Creates a deployment with a minimal data plane: one engine, one plain server.
 *
 * @param options Folder and boxes.
 * @returns The deployment, not yet started.
 */
export function createControlDeployment(
  options: ControlDeploymentOptions,
): deployments.Deployment {
  return new deployments.Deployment({
    ...options,
    servers: topologies.listServers(1, 1),
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
