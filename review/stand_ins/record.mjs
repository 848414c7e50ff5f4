// Writes what was sent, answered and run, one line an event.
import fs from "node:fs";

export class Record {
  constructor(file) {
    this.file = file;
    this.startMs = Date.now();
    fs.writeFileSync(file, "");
  }

  write(event, fields = {}) {
    const seconds = ((Date.now() - this.startMs) / 1000).toFixed(3);
    const text = Object.entries(fields)
      .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`)
      .join(" ");
    fs.appendFileSync(this.file, `${seconds} ${event} ${text}\n`);
  }
}
