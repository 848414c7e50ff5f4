import * as jsCspModule from "js-csp";

/**
 * js-csp, which loaders give as the default export or as the module itself.
 */
export const jsCsp: jsCspModule.Csp = jsCspModule.default ??
  (jsCspModule as unknown as jsCspModule.Csp);
