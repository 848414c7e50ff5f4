import * as eventSource from "eventsource-parser";
import * as eventBoundaries from "./_event_boundary.ts";

/** Receivers of what an {@linkcode EventStreamReader} parses. */
export interface EventStreamHandlers {
  readonly onEvent: (event: eventSource.EventSourceMessage) => void;
  /** Receives fields that the format does not define, and invalid ones. */
  readonly onError?: (error: eventSource.ParseError) => void;
}

/**
 * Parses server-sent events and tells at the end of the stream whether it ended
 * after a whole event or broke off inside one.
 */
export class EventStreamReader {
  readonly #decoder = new TextDecoder();
  readonly #parser: eventSource.EventSourceParser;
  readonly #boundary = new eventBoundaries.EventBoundary();

  constructor(handlers: EventStreamHandlers) {
    this.#parser = eventSource.createParser(handlers);
  }

  /** Parses the next chunk of the stream. */
  read(chunk: Buffer): void {
    this.#processText(this.#decoder.decode(chunk, { stream: true }));
  }

  /**
   * Ends the stream. The handlers may receive its last event.
   *
   * @returns Whether the stream ended after a whole event.
   */
  end(): boolean {
    this.#processText(this.#decoder.decode());
    const isWhole = this.#boundary.isReached();
    // The parser holds a last CR back, as an LF may follow that belongs to it.
    if (isWhole) this.#parser.feed("\n");
    return isWhole;
  }

  #processText(text: string): void {
    this.#boundary.add(text);
    this.#parser.feed(text);
  }
}
