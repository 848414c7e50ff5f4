import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as loopbackNetworks from "../fixtures/loopback_network.ts";
import * as logs from "../log/mod.ts";
import * as rpc from "../rpc/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as controlClients from "./control_client.ts";
import * as protocols from "./protocol.ts";

const PORT = 18_490;
const ADDRESS = `${loopbackNetworks.LOOPBACK_NETWORK}.31.1`;
const LEASE_MS = 60_000;
const POLL_INTERVAL_MS = 5;

/** System clock that simulates suspensions by advancing the wall time only. */
class SuspendedClock extends clocks.SystemClock {
  suspendedMs = 0;

  override getWallMs(): number {
    return super.getWallMs() + this.suspendedMs;
  }
}

describe("box after a suspension", () => {
  const clock = new SuspendedClock();
  const server = new rpc.RpcServer();
  let syncCount = 0;
  let isLeader = true;
  const client = new controlClients.ControlClient({
    clock,
    log: new logs.Log("box", "error", () => {}),
    settings: {
      box: { id: "box", address: ADDRESS, failureDomain: "d" },
      listen: { callerPort: 1, peerPort: 2 },
      lease: { syncWaitMs: 50 },
      replicas: [{ id: "r", address: ADDRESS, port: PORT }],
    } as unknown as settings.Settings,
  });

  before(async () => {
    server.add(protocols.METHODS.sync, async () => {
      syncCount += 1;
      await clocks.sleep(clock, POLL_INTERVAL_MS);
      return isLeader
        ? {
          kind: "synced",
          term: 1,
          leaseMs: LEASE_MS,
          config: { revision: 0, accounts: [], templates: [], models: [] },
          membership: undefined,
        }
        : { kind: "notLeader", leader: undefined };
    });
    await server.listen(ADDRESS, PORT);
    client.start();
  });

  after(() => {
    client.stop();
    server.close();
  });

  async function waitFor(condition: () => boolean): Promise<void> {
    while (!condition()) await clocks.sleep(clock, POLL_INTERVAL_MS);
  }

  it("loses its lease and gets a new one with the next sync", async () => {
    await waitFor(() => client.hasLease());
    isLeader = false;
    const syncsBefore = syncCount;
    await waitFor(() => syncCount > syncsBefore + 1);
    chai.expect(client.hasLease()).to.equal(true);
    clock.suspendedMs += LEASE_MS;
    chai.expect(client.hasLease()).to.equal(false);
    isLeader = true;
    await waitFor(() => client.hasLease());
  });
});
