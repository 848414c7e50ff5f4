import type * as crashRecords from "../crash_record/mod.ts";

/** Digest of a piece of work, and details of it for records and logs. */
export interface WorkDescription {
  readonly digest: crashRecords.WorkDigest;
  /** Id of the request or submission item. */
  readonly requestId: string;
  /** Client account that sent it; empty for requests without one. */
  readonly account: string;
  readonly service: string;
  /** Path with query. */
  readonly target: string;
}
