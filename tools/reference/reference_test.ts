import * as fs from "node:fs";
import * as chai from "chai";
import * as metrics from "../../src/metrics/mod.ts";
import * as results from "../../src/results/mod.ts";
import * as settings from "../../src/settings/mod.ts";
import * as renderReference from "./render_reference.ts";

describe("reference", () => {
  it("has pages that match the code", () => {
    chai.expect(fs.readFileSync("docs/codes.md", "utf8")).to.equal(
      renderReference.renderCodes(),
    );
    chai.expect(fs.readFileSync("docs/settings.md", "utf8")).to.equal(
      renderReference.renderSettings(),
    );
  });

  it("documents every metric that a box exports", () => {
    const page = fs.readFileSync("docs/OPERATIONS.md", "utf8");
    const listed = [...page.matchAll(/^\| `(hoistscale_\w+)/gm)];
    chai.expect(listed.map(([, name]) => name)).to.have.members(
      [...new metrics.FleetMetrics().listMetricNames()],
    );
  });

  it("has a distinct number and exit code for each result", () => {
    const entries = Object.values(results.RESULT_CODES);
    chai.expect(new Set(entries.map((entry) => entry.number)).size).to.equal(
      entries.length,
    );
    chai.expect(new Set(entries.map((entry) => entry.exitCode)).size).to.equal(
      entries.length,
    );
  });

  it("has only examples with valid settings", () => {
    for (const name of fs.readdirSync("examples")) {
      chai.expect(settings.loadSettings(`examples/${name}`).kind).to.equal(
        "ok",
      );
    }
  });

  it("reports every error of an invalid settings file with its line", () => {
    const text = "box: { id: B, address: x }\nreplicas: []\nnonsense: 1\n";
    const parsed = settings.parseSettings(text, "box.yaml");
    const message = parsed.kind === "failure" ? parsed.failure.message : "";
    for (
      const part of [
        "line 1, box.id",
        "line 1, box.address",
        "line 1, box.failureDomain",
        "line 2, replicas",
        "nonsense",
        "boxList",
      ]
    ) {
      chai.expect(message).to.contain(part);
    }
  });
});
