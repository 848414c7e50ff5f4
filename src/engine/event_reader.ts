import * as eventSource from "eventsource-parser";
import * as z from "zod";

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
  /** Undefined where the writer does not tell. */
  readonly weightVersion: number | undefined;
  readonly finishReason: string | null;
}

/** Reads a completion's server-sent events, in the OpenAI style. */
export class EventReader {
  readonly #parser: eventSource.EventSourceParser;
  readonly #decoder = new TextDecoder();
  readonly #onEvent: (event: CompletionEvent) => void;
  #isEnded = false;
  #error: string | undefined;

  /** @param onEvent Receives each event before the end mark. */
  constructor(onEvent: (event: CompletionEvent) => void) {
    this.#onEvent = onEvent;
    this.#parser = eventSource.createParser({
      onEvent: (event) => this.#handleEvent(event.data),
    });
  }

  /** Reads a part of the stream. */
  read(chunk: Buffer): void {
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
  }

  /** Whether the end mark came and all before it could be read. */
  isEnded(): boolean {
    return this.#isEnded && this.#error === undefined;
  }

  /** What could not be read, if anything. */
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
    if (event === undefined) this.#error = "an event can't be read";
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
