import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import * as metrics from "../metrics/mod.ts";
import * as results from "../results/mod.ts";
import * as checkConfiguration from "./check_configuration.ts";
import type * as configurations from "./configuration.ts";
import * as configurationHolders from "./configuration_holder.ts";
import * as configurationMachines from "./configuration_machine.ts";
import * as matchRoute from "./match_route.ts";

const ROUTE: configurations.Route = {
  name: "r",
  host: "a.example",
  pathPrefix: "/a/",
  kind: "repeatable",
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  targetCompletionMs: 1_000,
  priority: 0,
  targets: [{ service: "s", weight: 1 }],
  attempts: 2,
  canResume: false,
  isSingleVersion: false,
  keepMs: 1_000,
  allowsAnonymous: false,
};

const SERVICE: configurations.Service = {
  name: "s",
  healthPath: "/",
  connectionLimit: 10,
  models: [],
  scaling: undefined,
};

function createConfiguration(
  ...routes: readonly Partial<configurations.Route>[]
): configurations.Configuration {
  return {
    version: 1,
    routes: routes.map((route) => ({ ...ROUTE, ...route })),
    services: new Map([["s", SERVICE], ["t", { ...SERVICE, name: "t" }]]),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    accounts: undefined,
  };
}

describe("traffic configuration", () => {
  it("accepts a valid configuration", () => {
    const checked = checkConfiguration.checkConfiguration(
      createConfiguration({}, { name: "q", pathPrefix: "/a/b/" }),
    );
    chai.expect(checked.kind).to.equal("ok");
  });

  const faults: Readonly<Record<string, configurations.Configuration>> = {
    "no service u": createConfiguration({
      targets: [{ service: "u", weight: 1 }],
    }),
    "two routes serve": createConfiguration({}, {
      name: "q",
    }),
    "weights add up to 0": createConfiguration({
      targets: [{ service: "s", weight: 0 }],
    }),
    "weight is below 0": createConfiguration({
      targets: [{ service: "s", weight: 2 }, { service: "t", weight: -1 }],
    }),
    "timeout is not above 0": createConfiguration({ timeoutMs: 0 }),
    "begin and end with a slash": createConfiguration({ pathPrefix: "/a" }),
  };
  for (const [fault, configuration] of Object.entries(faults)) {
    it(`refuses a configuration with the message: ${fault}`, () => {
      const checked = checkConfiguration.checkConfiguration(configuration);
      if (checked.kind === "ok") {
        throw new Error("the configuration was accepted");
      }
      chai.expect(checked.failure.message).to.contain(fault);
    });
  }

  it("matches the longest prefix of the host and ignores the query", () => {
    const configuration = createConfiguration(
      {},
      { name: "long", pathPrefix: "/a/b/" },
      { name: "other", host: "b.example", pathPrefix: "/a/b/c/" },
    );
    function findRouteName(host: string, path: string): string | undefined {
      return matchRoute.matchRoute(configuration, host, path)?.name;
    }
    chai.expect(findRouteName("a.example", "/a/b/c/d?x=/a/")).to.equal("long");
    chai.expect(findRouteName("a.example", "/a/c")).to.equal("r");
    chai.expect(findRouteName("a.example", "/a")).to.equal(undefined);
    chai.expect(findRouteName("c.example", "/a/b/")).to.equal(undefined);
  });

  it("distributes requests by weight and skips services of weight 0", () => {
    const route = {
      ...ROUTE,
      targets: [
        { service: "s", weight: 0 },
        { service: "t", weight: 1 },
        { service: "u", weight: 3 },
        { service: "v", weight: 0 },
      ],
    };
    const draws = [0, 0.24, 0.25, 0.999];
    chai.expect(draws.map((draw) => matchRoute.pickService(route, draw))).to
      .deep.equal([
        "t",
        "t",
        "u",
        "u",
      ]);
  });

  it("never puts a lower or equal version in force", () => {
    const holder = new configurationHolders.ConfigurationHolder({
      clock: new clocks.FakeClock(),
      log: { write: () => {} },
      metrics: new metrics.FleetMetrics().configuration,
      decode: () => results.createOk(createConfiguration({})),
    });
    chai.expect(holder.update({ version: 5, text: "five" }, "log")).to.equal(
      true,
    );
    chai.expect(holder.update({ version: 5, text: "other" }, "push")).to.equal(
      false,
    );
    chai.expect(holder.update({ version: 4, text: "four" }, "sync")).to.equal(
      false,
    );
    chai.expect(holder.getStored()).to.deep.equal({ version: 5, text: "five" });
  });

  it("tells for how long a newer version has been known, and how old one was", () => {
    const clock = new clocks.FakeClock(10_000);
    const written: logs.LogFields[] = [];
    const holder = new configurationHolders.ConfigurationHolder({
      clock,
      log: { write: (_level, _event, fields) => written.push(fields ?? {}) },
      metrics: new metrics.FleetMetrics().configuration,
      decode: (text) =>
        text === "bad"
          ? results.createFailure("malformedBody", "Cannot read it")
          : results.createOk(createConfiguration({})),
    });
    holder.observeVersion(5);
    clock.advance(300);
    chai.expect(holder.getBehindMs()).to.equal(300);
    holder.update({ version: 4, text: "four" }, "sync");
    chai.expect(holder.getBehindMs()).to.equal(300);
    holder.update({ version: 5, text: "five", acceptedAtMs: 9_900 }, "push");
    chai.expect(holder.getBehindMs()).to.equal(0);
    chai.expect(written.at(-1)).to.include({
      version: 5,
      before: 4,
      source: "push",
      ageMs: 400,
      behindMs: 300,
    });
    chai.expect(holder.update({ version: 6, text: "bad" }, "fetch")).to.equal(
      false,
    );
    chai.expect(holder.canAdopt(6)).to.equal(false);
    chai.expect(holder.canAdopt(7)).to.equal(true);
    chai.expect(holder.update({ version: 9, text: "bad" }, "push")).to.equal(
      false,
    );
    chai.expect(holder.update({ version: 8, text: "eight" }, "push")).to.equal(
      true,
    );
  });

  it("keeps the highest version, also across a restart", () => {
    const notifiedVersions: number[] = [];
    const machine = new configurationMachines.ConfigurationMachine((stored) =>
      notifiedVersions.push(stored.version)
    );
    function put(version: number, text: string) {
      const stored = { version, text };
      return machine.apply({ kind: "putConfiguration", stored });
    }
    chai.expect(put(3, "three")).to.deep.equal({ version: 3 });
    chai.expect(put(3, "other")).to.deep.equal({ version: 3 });
    chai.expect(put(2, "two")).to.deep.equal({ version: 3 });
    chai.expect(machine.apply({ kind: "noOperation" })).to.deep.equal({
      version: 3,
    });
    const restored = new configurationMachines.ConfigurationMachine(() => {});
    restored.restore(JSON.parse(JSON.stringify(machine.save())));
    chai.expect(restored.getStored()).to.deep.equal({
      version: 3,
      text: "three",
    });
    chai.expect(notifiedVersions).to.deep.equal([3]);
  });

  it("reports a restored configuration only after a further log entry", () => {
    const notifiedVersions: number[] = [];
    const machine = new configurationMachines.ConfigurationMachine((stored) =>
      notifiedVersions.push(stored.version)
    );
    machine.restore([{ stored: { version: 4, text: "four" } }]);
    chai.expect(notifiedVersions).to.deep.equal([]);
    machine.apply({ kind: "noOperation" });
    chai.expect(notifiedVersions).to.deep.equal([4]);
    machine.apply({ kind: "noOperation" });
    chai.expect(notifiedVersions).to.deep.equal([4]);
  });
});
