import * as loaded from "js-csp";

/**
 * js-csp, which loaders give as the default export or as the module itself.
 */
export const jsCsp: loaded.Csp = loaded.default ??
  (loaded as unknown as loaded.Csp);
