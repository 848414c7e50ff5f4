import * as lifetimes from "./lifetime.ts";
import type * as refusalRecorders from "./refusal_recorder.ts";
import type * as registeredServers from "./registered_server.ts";

/** What a report is checked against. */
export interface ReportContext {
  /** Latest start known under the same id. */
  readonly known: registeredServers.ServerReport | undefined;
  /** Wall time of this box, in ms. */
  readonly wallMs: number;
  /** Whether a configuration names the service; true while there is none. */
  readonly isService: (name: string) => boolean;
}

/**
 * Tells why a report that can be read names no server to use. One start has one
 * service and one address, so a report that changes them is not its own.
 *
 * @param report The report.
 * @param context What is known.
 * @returns The refusal, or undefined for a report to take.
 */
export function validateReport(
  report: registeredServers.ServerReport,
  context: ReportContext,
): refusalRecorders.ReportRefusal | undefined {
  const { known, wallMs, isService } = context;
  const { id: server } = report;
  if (!lifetimes.isPlausibleStart(report, known, wallMs)) {
    return { server, reason: "start", field: "born" };
  }
  if (!isService(report.service)) {
    return { server, reason: "service", field: "service" };
  }
  // A notice of a start that was never heard of tells no service.
  if (known === undefined || known.service === "") return undefined;
  if (lifetimes.compareLifetimes(report, known) !== "same") return undefined;
  if (report.service !== known.service) {
    return { server, reason: "service", field: "service" };
  }
  const isSameAddress = report.address === known.address &&
    report.port === known.port;
  return isSameAddress
    ? undefined
    : { server, reason: "address", field: "address" };
}
