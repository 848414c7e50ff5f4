import * as crypto from "node:crypto";
import * as registry from "../registry/mod.ts";
import * as boxRecords from "./box_record.ts";

/**
 * Computes a digest of what a box knows of boxes and servers, but for how
 * lately it heard of them. Two boxes with the same digest need not exchange
 * their records.
 *
 * @param boxes Boxes that were heard lately.
 * @param servers All remembered servers.
 * @returns The digest.
 */
export function computeStateDigest(
  boxes: readonly boxRecords.BoxRecord[],
  servers: readonly registry.ServerReport[],
): string {
  // A server that has gone is forgotten at another time by each box.
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
