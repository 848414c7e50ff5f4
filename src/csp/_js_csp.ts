import * as jsCspModule from "js-csp";

/**
 * The js-csp library. Depending on the module loader it is the default export or
 * the module itself.
 */
export const jsCsp: jsCspModule.Csp = jsCspModule.default ??
  (jsCspModule as unknown as jsCspModule.Csp);
