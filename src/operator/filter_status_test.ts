import * as chai from "chai";
import type * as control from "../control/mod.ts";
import * as templates from "../rollout_template/mod.ts";
import * as filterStatus from "./filter_status.ts";

function createTemplate(
  account: string,
  model: string,
): templates.RolloutTemplate {
  const parameters = templates.templateParametersSchema.parse({
    trainer: "t",
    model,
  });
  return { account, name: "notes", parameters, revision: 1 };
}

describe("status for an operator of a client account", () => {
  it("omits models of other accounts and all roles", () => {
    const status: Extract<control.StatusReply, { kind: "status" }> = {
      kind: "status",
      leader: "box-1",
      revision: 3,
      replica: {
        role: "leader",
        term: 1,
        leader: "box-1",
        commitIndex: 1,
        isEstablished: true,
        lastIndex: 1,
        followers: [],
        voterSet: { voters: [], index: 0, isCommitted: true },
      },
      boxes: [],
      servers: [],
      models: [{ model: "lm", weightVersion: 1, revision: 1 }, {
        model: "lm:other",
        weightVersion: 2,
        revision: 2,
      }],
      roles: [{ server: "lm-1", role: "rollout", revision: 3 }],
    };
    const allTemplates = [
      createTemplate("cascade", "lm"),
      createTemplate("nordeste", "lm:other"),
    ];
    const filtered = filterStatus.filterStatus(status, "cascade", allTemplates);
    chai.expect(filtered.models.map((entry) => entry.model)).to.deep.equal([
      "lm",
    ]);
    chai.expect(filtered.roles).to.deep.equal([]);
  });
});
