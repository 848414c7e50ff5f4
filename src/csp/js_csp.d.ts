declare module "js-csp" {
  export interface RawChannel {
    close(): void;
  }
  export interface Csp {
    readonly CLOSED: null;
    readonly NO_VALUE: unknown;
    chan(bufferSize?: number): RawChannel;
    go(body: () => Generator<unknown, unknown, unknown>): RawChannel;
    take(channel: RawChannel): unknown;
    put(channel: RawChannel, value: unknown): unknown;
    offer(channel: RawChannel, value: unknown): boolean;
    poll(channel: RawChannel): unknown;
    putAsync(channel: RawChannel, value: unknown): void;
  }
  const csp: Csp | undefined;
  export default csp;
}
