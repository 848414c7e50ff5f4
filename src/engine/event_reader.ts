import * as z from "zod";
import * as eventStreams from "../event_stream/mod.ts";

const END_MARKER = "[DONE]";

const chunkSchema = z.object({
  weight_version: z.number().int().optional(),
  choices: z.array(z.object({
    text: z.string().default(""),
    token_ids: z.array(z.number().int()),
    finish_reason: z.string().nullable(),
  })).length(1),
});

/** One event of a completion stream. */
export interface CompletionEvent {
  readonly text: string;
  readonly tokenIds: readonly number[];
  /** Undefined if the engine does not report it. */
  readonly weightVersion: number | undefined;
  readonly finishReason: string | null;
}

/** Parser of a completion's server-sent events in the OpenAI format. */
export class EventReader {
  readonly #reader: eventStreams.EventStreamReader;
  readonly #onEvent: (event: CompletionEvent) => void;
  #isEnded = false;
  #error: string | undefined;

  /** @param onEvent Receives each event before the `[DONE]` marker. */
  constructor(onEvent: (event: CompletionEvent) => void) {
    this.#onEvent = onEvent;
    this.#reader = new eventStreams.EventStreamReader({
      onEvent: (event) => this.#handleEvent(event.data),
    });
  }

  /** Parses the next chunk of the stream. */
  read(chunk: Buffer): void {
    this.#reader.read(chunk);
  }

  /** Whether `[DONE]` was received and every event before it was valid. */
  isEnded(): boolean {
    return this.#isEnded && this.#error === undefined;
  }

  /** Returns the parse error, if any. */
  getError(): string | undefined {
    return this.#error;
  }

  #handleEvent(data: string): void {
    if (this.#isEnded || this.#error !== undefined) return;
    if (data === END_MARKER) {
      this.#isEnded = true;
      return;
    }
    const event = parseEvent(data);
    if (event === undefined) this.#error = "malformed completion event";
    else this.#onEvent(event);
  }
}

function parseEvent(data: string): CompletionEvent | undefined {
  try {
    const parsed = chunkSchema.parse(JSON.parse(data));
    const [choice] = parsed.choices;
    if (choice === undefined) return undefined;
    return {
      text: choice.text,
      tokenIds: choice.token_ids,
      weightVersion: parsed.weight_version,
      finishReason: choice.finish_reason,
    };
  } catch {
    return undefined;
  }
}
