import * as crypto from "node:crypto";
import * as registry from "../registry/mod.ts";
import * as boxRecords from "./box_record.ts";

/**
 * Computes a digest of the box records and server reports that a box holds,
 * without their sequence numbers. Two boxes with the same digest need not
 * exchange their records.
 *
 * @param boxes Records of the boxes that are alive.
 * @param servers Reports of all remembered servers.
 * @returns SHA-1 in Base64; it does not depend on the order of the records.
 */
export function computeStateDigest(
  boxes: readonly boxRecords.BoxRecord[],
  servers: readonly registry.ServerReport[],
): string {
  // Boxes drop a server that has gone at different times, so these are left out.
  const present = servers.filter((server) => server.phase !== "gone");
  const lines = [
    ...boxes.map((box) => `${box.id} ${boxRecords.describeContent(box)}`),
    ...present.map((server) =>
      `${server.id} ${registry.createContentKey(server)}`
    ),
  ];
  return crypto.createHash("sha1").update(lines.toSorted().join("\n"))
    .digest("base64");
}
