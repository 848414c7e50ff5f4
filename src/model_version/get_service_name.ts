/**
 * Returns the name of the service that serves a model. An adapter, named
 * `base:name`, is served by the servers of its base model.
 *
 * @param model Name of the model.
 * @returns Name of the service.
 */
export function getServiceName(model: string): string {
  return model.split(":")[0] ?? model;
}
