import * as fs from "node:fs";
import * as chai from "chai";
import * as metrics from "../../src/metrics/mod.ts";
import * as results from "../../src/results/mod.ts";
import * as settings from "../../src/settings/mod.ts";
import * as renderReference from "./render_reference.ts";

describe("reference", () => {
  it("matches the generated pages", () => {
    chai.expect(fs.readFileSync("docs/codes.md", "utf8")).to.equal(
      renderReference.renderCodes(),
    );
    chai.expect(fs.readFileSync("docs/settings.md", "utf8")).to.equal(
      renderReference.renderSettings(),
    );
  });

  it("names every figure that a box serves", () => {
    const page = fs.readFileSync("docs/OPERATIONS.md", "utf8");
    const listed = [...page.matchAll(/^\| `(hoistscale_\w+)/gm)];
    chai.expect(listed.map(([, name]) => name)).to.have.members(
      [...new metrics.FleetMetrics().listMetricNames()],
    );
  });

  it("gives each result its own number and exit code", () => {
    const entries = Object.values(results.RESULT_CODES);
    chai.expect(new Set(entries.map((entry) => entry.number)).size).to.equal(
      entries.length,
    );
    chai.expect(new Set(entries.map((entry) => entry.exitCode)).size).to.equal(
      entries.length,
    );
  });

  it("accepts every example", () => {
    for (const name of fs.readdirSync("examples")) {
      chai.expect(settings.loadSettings(`examples/${name}`).kind).to.equal(
        "ok",
      );
    }
  });

  it("names every error of a wrong settings file with its line", () => {
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
