/** Misdirected Request: the address now belongs to a different server. */
export const MISDIRECTED_STATUS = 421;
