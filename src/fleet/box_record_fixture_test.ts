import type * as boxRecords from "./box_record.ts";

/** Record of a store process; its successor has an earlier start time. */
export const FORMER_RECORD: boxRecords.BoxRecord = {
  id: "10.0.0.1",
  name: "store-1",
  failureDomain: "north",
  region: "r",
  peerPort: 1,
  callerAddress: undefined,
  isCore: false,
  isStore: true,
  isReady: true,
  isLeaving: false,
  ledTerm: 3,
  startedAtMs: 90_000,
  sequence: 40,
};
