import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as crashRecords from "../crash_record/mod.ts";
import * as logs from "../log/mod.ts";
import * as recordFiles from "./record_file.ts";

const RECORD: crashRecords.CrashRecord = {
  digest: "d",
  account: "",
  service: "app",
  target: "/x",
  ended: ["i-1", "i-2"],
  cleared: [],
  notedAtMs: 1_000,
};

describe("RecordFile", () => {
  let folder = "";
  let lines: string[] = [];

  beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-records-"));
    lines = [];
  });

  afterEach(() => fs.rmSync(folder, { recursive: true, force: true }));

  function openFile(): recordFiles.RecordFile {
    const log = new logs.Log("box", "info", (line) => lines.push(line));
    return new recordFiles.RecordFile(folder, log);
  }

  function createTable(): crashRecords.CrashTable {
    const table = new crashRecords.CrashTable();
    table.merge(RECORD, 1_000);
    return table;
  }

  it("keeps the records for the next process", async () => {
    chai.expect(openFile().load()).to.deep.equal([]);
    await openFile().save(createTable());
    chai.expect(openFile().load()).to.deep.equal([RECORD]);
    chai.expect(lines).to.deep.equal([]);
  });

  it("writes only what has changed", async () => {
    const file = openFile();
    await file.save(new crashRecords.CrashTable());
    chai.expect(fs.readdirSync(folder)).to.deep.equal([]);
    await file.save(createTable());
    const [name = ""] = fs.readdirSync(folder);
    fs.rmSync(path.join(folder, name));
    await file.save(createTable());
    chai.expect(fs.readdirSync(folder)).to.deep.equal([]);
  });

  it("reads no records from a damaged file, and says so", async () => {
    await openFile().save(createTable());
    const [name = ""] = fs.readdirSync(folder);
    const bytes = fs.readFileSync(path.join(folder, name));
    fs.writeFileSync(path.join(folder, name), bytes.subarray(0, -1));
    chai.expect(openFile().load()).to.deep.equal([]);
    chai.expect(lines.join()).to.contain("event=crash.fileFailed");
  });

  it("repeats a failed save", async () => {
    const file = openFile();
    fs.rmSync(folder, { recursive: true });
    await file.save(createTable());
    chai.expect(lines.join()).to.contain("operation=write");
    fs.mkdirSync(folder);
    await file.save(createTable());
    chai.expect(openFile().load()).to.deep.equal([RECORD]);
  });
});
