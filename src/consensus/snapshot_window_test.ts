import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as messages from "./message.ts";
import * as transfers from "./_snapshot_transfer.ts";

/*
 * A snapshot went four parts at a time, whatever came back. With 265 parts and 0.2
 * to 0.5 s from a part to its answer, as on boxes with a third of a core, it took
 * longer than any leader led there, and each began it anew.
 */

const PARTS = 265;
const ROUND_TRIPS = 24;
const ROUND_TRIP_MS = 200;

describe("a snapshot over a slow link", () => {
  it("takes few round trips, as more parts are under way once some came", () => {
    const clock = new clocks.FakeClock();
    const state = Array.from({ length: PARTS }, (_, part) => `part ${part}`);
    let sent: messages.DriverMessage[] = [];
    const sender = new transfers.SnapshotSender({
      clock,
      send: (_to, message) => sent.push(message),
      createSnapshot: () => ({ index: 9, term: 2, state, voters: ["a"] }),
    });
    const receiver = new transfers.SnapshotReceiver();
    let complete: messages.SnapshotRequest | undefined;
    sender.send("b", 3);
    for (let trip = 0; trip < ROUND_TRIPS; trip += 1) {
      clock.advance(ROUND_TRIP_MS);
      const arrived = sent;
      sent = [];
      const replies = arrived.flatMap((message) => {
        if (message.kind !== "snapshotPart") return [];
        const result = receiver.addPart(message);
        complete ??= result.whole;
        return [result.reply];
      });
      for (const reply of replies) sender.handleReply("b", reply, 3);
    }
    chai.expect(complete?.snapshot.state.length).to.equal(PARTS);
  });
});
