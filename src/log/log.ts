import bunyan from "bunyan";

/** A field of a log line. */
export type LogValue = string | number | boolean | undefined;

/** The fields of one event. */
export interface LogFields {
  readonly [key: string]: LogValue;
}

/** Levels, from most to least talkative. */
export const LOG_LEVELS = ["trace", "debug", "info", "warn", "error"] as const;

/** A log level. */
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

/** Writes one line of key=value pairs an event. */
export class Log {
  readonly #logger: bunyan;

  /**
   * @param box The box's id, on every line.
   * @param level First level; `setLevel` changes it while running.
   * @param write Receives each line with its newline.
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

  /** Records one event; its name is a lower-case word or words with dots. */
  write(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#logger[level](fields, event);
  }

  /** Changes the level of a running process. */
  setLevel(level: LogLevel): void {
    this.#logger.level(level);
  }
}
