import * as fs from "node:fs";
import * as chai from "chai";
import * as yaml from "yaml";
import * as fleetSettings from "./fleet_settings.ts";

/** Settings that the template leaves out, or that have other values there. */
const REST = {
  box: { name: "b", address: "127.0.0.1", failureDomain: "d", region: "r" },
  roles: { entry: true, store: false },
  listen: { peerPort: 1 },
  seeds: [],
  isFirstStart: true,
  memoryMb: 200,
  lossesToBear: 1,
};

/** Fills the figures of `bounds` into that part of the deployment's template. */
function renderBounds(figures: Readonly<Record<string, number>>): unknown {
  const template = fs.readFileSync("deploy/settings.yaml.tmpl", "utf8");
  const start = template.indexOf("bounds:");
  const end = template.indexOf("{{#bounds.usage_window_s}}");
  const filled = template.slice(start, end).replaceAll(
    /\{\{(?:bounds\.)?(\w+)\}\}/g,
    (_gap, name: string) => String(figures[name]),
  );
  return yaml.parse(filled).bounds;
}

describe("settings template of the deployment", () => {
  const figures = { heartbeat_ms: 1_200, lease_ms: 3_000 };

  // Guards against a fraction of a second that is taken for as many ms, so that
  // results are forgotten at once.
  it("takes figures in seconds, whole or with a fraction", () => {
    const bounds = renderBounds({
      ...figures,
      grace_s: 8,
      ttl_max_s: 2.5,
      status_interval_s: 60.5,
    });
    const parsed = fleetSettings.fleetSettingsSchema.parse({ ...REST, bounds });
    chai.expect(parsed.bounds).to.deep.include({
      stopMs: 8_000,
      addressesKeepMs: 2_500,
      resultsKeepMs: 60_500,
    });
  });

  it("refuses a text that is no duration, and none of zero", () => {
    for (const stopMs of ["8", "8 s", "0s", "-1s", 0]) {
      const bounds = {
        heartbeatMs: 1,
        orderLeaseMs: 1,
        stopMs,
        addressesKeepMs: 1,
        resultsKeepMs: 1,
      };
      const parsed = fleetSettings.fleetSettingsSchema.safeParse({
        ...REST,
        bounds,
      });
      chai.expect(parsed.success, String(stopMs)).to.equal(false);
    }
  });
});
