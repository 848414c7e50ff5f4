/**
 * Gives the service that serves a model: an adapter `base:name` is served by
 * the servers of its base.
 *
 * @param model Name of the model.
 * @returns Name of the service.
 */
export function getServiceName(model: string): string {
  return model.split(":")[0] ?? model;
}
