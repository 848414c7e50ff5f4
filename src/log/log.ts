import bunyan from "bunyan";

/** Value of a field in a log line; undefined omits the field. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one event by their key. */
export interface LogFields {
  readonly [key: string]: LogValue;
}

/** Log levels, from most to least verbose. */
export const LOG_LEVELS = ["trace", "debug", "info", "warn", "error"] as const;

export type LogLevel = typeof LOG_LEVELS[number];

const OMITTED_FIELDS = new Set([
  "v",
  "hostname",
  "name",
  "msg",
  "level",
  "time",
  "pid",
]);

function formatValue(value: unknown): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

function formatLine(record: Readonly<Record<string, unknown>>): string {
  const time = (record["time"] as Date).toISOString();
  const level = bunyan.nameFromLevel[record["level"] as number];
  const prefix = `time=${time} level=${level} event=${record["msg"]}`;
  const fields = Object.entries(record)
    .filter(([key, value]) => !OMITTED_FIELDS.has(key) && value !== undefined)
    .map(([key, value]) => ` ${key}=${formatValue(value)}`);
  return `${prefix}${fields.join("")}\n`;
}

/** Writes each event as one line of key=value pairs. */
export class Log {
  readonly #logger: bunyan;

  /**
   * @param box Id of the box, written on every line.
   * @param level Initial level; `setLevel` changes it.
   * @param write Writes a line, which includes its newline.
   */
  constructor(
    box: string,
    level: LogLevel,
    write: (line: string) => void = (line) => process.stderr.write(line),
  ) {
    const sink = {
      write(record: unknown) {
        write(formatLine(record as Readonly<Record<string, unknown>>));
      },
    };
    this.#logger = bunyan.createLogger({
      name: "hoistscale",
      box,
      streams: [{
        level,
        type: "raw",
        stream: sink as unknown as NodeJS.WritableStream,
      }],
    });
  }

  /** Logs an event; its name is lower-case words separated by dots. */
  write(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#logger[level](fields, event);
  }

  /** Changes the level of the following events. */
  setLevel(level: LogLevel): void {
    this.#logger.level(level);
  }
}
