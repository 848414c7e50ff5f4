import * as clocks from "../clock/mod.ts";
import * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as fleet from "../fleet/mod.ts";
import type * as fleetSettings from "../fleet_settings/mod.ts";
import * as forwarding from "../forwarding/mod.ts";
import * as heldBytes from "../held_bytes/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as logs from "../log/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as registry from "../registry/mod.ts";
import * as replicaGroups from "../replica_group/mod.ts";
import * as rpc from "../rpc/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";
import * as boxLimits from "./_compute_box_limits.ts";
import * as crowdRecorders from "./_crowd_recorder.ts";

/** Inputs of a box that do not change while it runs. */
export interface BoxContext {
  readonly settings: fleetSettings.FleetSettings;
  readonly dialect: dialects.Dialect;
  readonly lines: logs.LineBuffer;
  /** Called with an error after which the process must end. */
  readonly onFatal: (error: unknown) => void;
}

/** Readiness, shutdown and leadership of a box. */
export interface BoxStatus {
  /** Whether a configuration is in force, so that callers can be served. */
  isReady: boolean;
  /** Whether a graceful shutdown has begun. */
  isLeaving: boolean;
  /**
   * Time until which requests are served, in monotonic ms; infinite until a
   * graceful shutdown begins.
   */
  servesUntilMs: number;
  /** Newest term in which this box has led its replica group; 0 for none. */
  ledTerm: number;
}

/** Components that every box has, whatever its roles. */
export interface BoxComponents extends BoxContext {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metrics.FleetMetrics;
  readonly failures: fleet.FailureRecorder;
  /** What the parts of this process may take up. */
  readonly limits: boxLimits.BoxLimits;
  /** Records what is done about clients beyond a limit. */
  readonly crowds: crowdRecorders.CrowdRecorder;
  readonly server: rpc.RpcServer;
  readonly peers: fleet.PeerPool;
  readonly directory: fleet.BoxDirectory;
  readonly servers: registry.ServerRegistry;
  readonly refusedReports: registry.RefusalRecorder;
  /**
   * Whether the configuration in force names a service; true for every name
   * while there is no configuration.
   */
  readonly isService: (name: string) => boolean;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly link: fleet.FleetGossip;
  /** Records of work that crashed backend servers, as known to this box. */
  readonly crashTable: crashRecords.CrashTable;
  /** Whether this box knows the records that the store boxes keep. */
  readonly recordSync: crashGuards.RecordSync;
  readonly crashGuard: crashGuards.CrashGuard;
  readonly forwarder: forwarding.Forwarder;
  readonly status: BoxStatus;
  /** How busy this process is. */
  readonly busyMonitor: clocks.BusyMonitor;
  readonly memoryGuard: heldBytes.MemoryGuard;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/** Creates the components that every box has, without starting any. */
export function createBoxComponents(context: BoxContext): BoxComponents {
  const { settings, dialect, lines } = context;
  const limits = boxLimits.computeBoxLimits(settings);
  heldBytes.SHARED_HELD_BYTES.limit(limits.heldBytes);
  const clock = new clocks.SystemClock();
  const log = new logs.Log(
    settings.box.name,
    settings.log.level,
    (line) => lines.add(line),
  );
  const boxMetrics = new metrics.FleetMetrics();
  const configuration = new trafficConfig.ConfigurationHolder({
    clock,
    log,
    metrics: boxMetrics.configuration,
    decode: dialect.decodeConfiguration,
  });
  const means = { clock, log, metrics: boxMetrics };
  const recorders = createRecorders(means);
  const shared = {
    ...context,
    ...means,
    ...recorders,
    limits,
    isService: (name: string) =>
      configuration.get()?.services.has(name) ?? true,
    server: createRpcServer(recorders, limits),
    peers: new fleet.PeerPool(settings.listen.peerPort),
    directory: new fleet.BoxDirectory(clock),
    servers: new registry.ServerRegistry(
      clock,
      settings.bounds.heartbeatMs,
      ({ address, port }) => httpClient.closeIdleConnections(address, port),
    ),
    configuration,
    crashTable: new crashRecords.CrashTable(),
    recordSync: new crashGuards.RecordSync(clock, log),
    status: {
      isReady: false,
      isLeaving: false,
      servesUntilMs: Number.POSITIVE_INFINITY,
      ledTerm: 0,
    },
    busyMonitor: new clocks.BusyMonitor(),
    memoryGuard: new heldBytes.MemoryGuard({
      clock,
      maxBytes: limits.memoryBytes,
    }),
    draw: Math.random,
  };
  const link: fleet.FleetGossip = createLink(
    shared,
    (record) => crashGuard.mergeRemoteRecord(record),
  );
  const crashGuard = createCrashGuard(shared, link);
  const forwarder = new forwarding.Forwarder({
    ...shared,
    crashGuard,
    loads: new forwarding.ServerLoads(clock),
    failureDomain: settings.box.failureDomain,
    isLoadAware: true,
  });
  return { ...shared, crashGuard, forwarder, link };
}

/** Recorders of what a box refuses or fails at, which bound their log lines. */
type Recorders = Pick<BoxComponents, "failures" | "crowds" | "refusedReports">;

function createRecorders(
  means: Pick<BoxComponents, "clock" | "log" | "metrics">,
): Recorders {
  return {
    failures: new fleet.FailureRecorder(means),
    crowds: new crowdRecorders.CrowdRecorder({
      ...means,
      metrics: means.metrics.crowds,
    }),
    refusedReports: new registry.RefusalRecorder(means),
  };
}

function createRpcServer(
  { failures }: Pick<Recorders, "failures">,
  limits: boxLimits.BoxLimits,
): rpc.RpcServer {
  const server = new rpc.RpcServer((method, error) =>
    failures.record(method, error)
  );
  server.limitConnections(limits.peerConnections);
  return server;
}

/** Components that do not depend on the gossip link. */
type LocalComponents = Omit<BoxComponents, "link" | "crashGuard" | "forwarder">;

function createCrashGuard(
  components: LocalComponents,
  link: fleet.FleetGossip,
): crashGuards.CrashGuard {
  const storeLeader = createLeaderCaller(components, isStoreBox);
  return new crashGuards.CrashGuard({
    ...components,
    table: components.crashTable,
    findPortState: httpClient.probePort,
    publish: (record) => link.publishCrash(record),
    ...crashGuards.createGrantClient(storeLeader),
  });
}

function createLink(
  components: LocalComponents,
  learnCrash: (record: crashRecords.CrashRecord) => boolean,
): fleet.FleetGossip {
  const { settings, status, clock } = components;
  const { box, roles, listen, seeds, dataFolder } = settings;
  const startedAtMs = clock.getWallMs();
  return new fleet.FleetGossip({
    ...components,
    learnCrash,
    seeds: seeds.map((seed) => seed.address),
    describeSelf: () => ({
      id: box.address,
      name: box.name,
      failureDomain: box.failureDomain,
      region: box.region,
      peerPort: listen.peerPort,
      callerAddress: listen.caller === undefined
        ? undefined
        : `${listen.caller.address}:${listen.caller.port}`,
      isCore: roles.entry && dataFolder !== undefined,
      isStore: roles.store,
      isReady: status.isReady,
      isLeaving: status.isLeaving,
      ledTerm: status.ledTerm,
      startedAtMs,
    }),
  });
}

/**
 * Creates a client that calls the leader of a replica group.
 *
 * @param components Components of the box.
 * @param isMember Whether a box has a replica of the group.
 * @returns The client.
 */
export function createLeaderCaller(
  components: Pick<
    BoxComponents,
    "clock" | "log" | "directory" | "peers" | "draw"
  >,
  isMember: (box: fleet.BoxRecord) => boolean,
): replicaGroups.LeaderCaller {
  const { clock, log, directory, peers, draw } = components;
  return new replicaGroups.LeaderCaller({
    clock,
    log,
    draw,
    listReplicas: () =>
      directory.listAlive().filter(isMember).map((box) => box.id),
    findLeader: () => findLeader(directory.listAll().filter(isMember))?.id,
    getClient: (id) => peers.get(id),
  });
}

/** Finds the box that published the highest term as leader, if any did. */
export function findLeader(
  boxes: readonly fleet.BoxRecord[],
): fleet.BoxRecord | undefined {
  return boxes.filter((box) => box.ledTerm > 0)
    .toSorted((a, b) => b.ledTerm - a.ledTerm)[0];
}

/** Whether a box has a replica of the configuration. */
export function isCoreBox(box: fleet.BoxRecord): boolean {
  return box.isCore;
}

/** Whether a box has a replica of the submissions. */
export function isStoreBox(box: fleet.BoxRecord): boolean {
  return box.isStore;
}
