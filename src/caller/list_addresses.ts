import type * as control from "../control/mod.ts";

/** One address that a caller may use. */
export interface AddressEntry {
  readonly box: string;
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Share of a caller's requests, against the other entries. */
  readonly weight: number;
}

/** Answer to "which address to use". */
export interface AddressList {
  readonly addresses: readonly AddressEntry[];
  /** How long the answer may be kept, in ms. */
  readonly keepMs: number;
}

/**
 * Lists the addresses that a caller may use: every box with a lease that is
 * not being stopped.
 *
 * @param membership The deployment's boxes.
 * @param keepMs How long the answer may be kept, in ms.
 * @returns The answer; empty when no box can serve.
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
