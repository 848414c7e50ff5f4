import * as clocks from "../clock/mod.ts";
import * as crashGuards from "../crash_guard/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as fleet from "../fleet/mod.ts";
import type * as fleetSettings from "../fleet_settings/mod.ts";
import * as forwarding from "../forwarding/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as logs from "../log/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as registry from "../registry/mod.ts";
import * as replicaGroups from "../replica_group/mod.ts";
import * as rpc from "../rpc/mod.ts";
import * as trafficConfig from "../traffic_config/mod.ts";

/** What is fixed while a box runs. */
export interface BoxContext {
  readonly settings: fleetSettings.FleetSettings;
  readonly dialect: dialects.Dialect;
  readonly lines: logs.LineBuffer;
  /** Told of a failure after which the process must end. */
  readonly onFatal: (error: unknown) => void;
}

/** Whether callers may come, and whether the box is being stopped. */
export interface BoxStatus {
  isReady: boolean;
  isLeaving: boolean;
  /** Newest term in which this box has led its replica group; 0 for none. */
  ledTerm: number;
}

/** The parts that every box has. */
export interface BoxComponents extends BoxContext {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metrics.FleetMetrics;
  readonly server: rpc.RpcServer;
  readonly peers: fleet.PeerPool;
  readonly directory: fleet.BoxDirectory;
  readonly servers: registry.ServerRegistry;
  readonly refusedReports: registry.RefusalRecorder;
  /** Tells whether a configuration names a service; true while there is none. */
  readonly isService: (name: string) => boolean;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly link: fleet.FleetGossip;
  /** Work under which servers ended, as this box knows it. */
  readonly crashTable: crashRecords.CrashTable;
  readonly crashGuard: crashGuards.CrashGuard;
  readonly forwarder: forwarding.Forwarder;
  readonly status: BoxStatus;
  readonly draw: () => number;
}

/** Builds the parts that every box has; nothing runs yet. */
export function createBoxComponents(context: BoxContext): BoxComponents {
  const { settings, dialect, lines } = context;
  const clock = new clocks.SystemClock();
  const log = new logs.Log(
    settings.box.name,
    settings.log.level,
    (line) => lines.add(line),
  );
  const boxMetrics = new metrics.FleetMetrics();
  const configuration = new trafficConfig.ConfigurationHolder(
    dialect.parseConfiguration,
    log,
  );
  const shared = {
    ...context,
    clock,
    log,
    metrics: boxMetrics,
    refusedReports: new registry.RefusalRecorder({
      clock,
      log,
      metrics: boxMetrics,
    }),
    isService: (name: string) =>
      configuration.get()?.services.has(name) ?? true,
    server: new rpc.RpcServer(),
    peers: new fleet.PeerPool(settings.listen.peerPort),
    directory: new fleet.BoxDirectory(clock),
    servers: new registry.ServerRegistry(
      clock,
      settings.bounds.heartbeatMs,
      ({ address, port }) => httpClient.closeIdleConnections(address, port),
    ),
    configuration,
    crashTable: new crashRecords.CrashTable(),
    status: { isReady: false, isLeaving: false, ledTerm: 0 },
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

/** The parts that know nothing of the fleet's news. */
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
  const { settings, status: status, clock } = components;
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

/** Makes a caller of the leader among the boxes of a kind. */
export function createLeaderCaller(
  components: Pick<BoxComponents, "clock" | "log" | "directory" | "peers">,
  isMember: (box: fleet.BoxRecord) => boolean,
): replicaGroups.LeaderCaller {
  const { clock, log, directory, peers } = components;
  return new replicaGroups.LeaderCaller({
    clock,
    log,
    listReplicas: () =>
      directory.listAlive().filter(isMember).map((box) => box.id),
    findLeader: () => findLeader(directory.listAll().filter(isMember))?.id,
    getClient: (id) => peers.get(id),
  });
}

/** Finds the box that led last, as far as boxes have told. */
export function findLeader(
  boxes: readonly fleet.BoxRecord[],
): fleet.BoxRecord | undefined {
  return boxes.filter((box) => box.ledTerm > 0)
    .toSorted((a, b) => b.ledTerm - a.ledTerm)[0];
}

/** Tells whether a box keeps a replica of the configuration. */
export function isCoreBox(box: fleet.BoxRecord): boolean {
  return box.isCore;
}

/** Tells whether a box keeps a replica of the submissions. */
export function isStoreBox(box: fleet.BoxRecord): boolean {
  return box.isStore;
}
