import type * as control from "../control/mod.ts";

/** A box's address for callers. */
export interface AddressEntry {
  readonly box: string;
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Relative share of a caller's requests. */
  readonly weight: number;
}

/** Response of `GET /v1/addresses`. */
export interface AddressList {
  readonly addresses: readonly AddressEntry[];
  /** How long callers may cache the list, in ms. */
  readonly keepMs: number;
}

/**
 * Lists the addresses of all boxes that have a lease and are not draining.
 *
 * @param membership The boxes of the deployment.
 * @param keepMs How long callers may cache the list, in ms.
 * @returns The list; empty if no box can serve.
 */
export function listAddresses(
  membership: control.Membership,
  keepMs: number,
): AddressList {
  const addresses = membership.boxes
    .filter((box) => !box.isDraining)
    .map((box): AddressEntry => ({
      box: box.id,
      address: box.address,
      port: box.callerPort,
      failureDomain: box.failureDomain,
      weight: 1,
    }));
  return { addresses, keepMs };
}
