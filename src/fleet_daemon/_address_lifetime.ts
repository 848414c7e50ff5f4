/** Lifetime of an address answer, as a fraction of `addressesKeepMs`. */
const LIFETIME_FRACTION = 0.4;
/** Multiple of its lifetime for which callers may use an address answer. */
const MAX_USE_FACTOR = 3;

/** Returns the lifetime of an address answer, in ms. */
export function getAddressLifetimeMs(addressesKeepMs: number): number {
  return addressesKeepMs * LIFETIME_FRACTION;
}

/** Returns the longest time for which callers use an address answer, in ms. */
export function getMaxAddressUseMs(addressesKeepMs: number): number {
  return getAddressLifetimeMs(addressesKeepMs) * MAX_USE_FACTOR;
}
