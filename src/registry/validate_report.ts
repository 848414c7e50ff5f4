import * as lifetimes from "./lifetime.ts";
import type * as refusalRecorders from "./refusal_recorder.ts";
import type * as registeredServers from "./registered_server.ts";

/** Known facts that a report is validated against. */
export interface ReportContext {
  /** Report of the latest known lifetime with the same id. */
  readonly known: registeredServers.ServerReport | undefined;
  /** Current wall time of this box, in ms. */
  readonly wallMs: number;
  /**
   * Checks whether the configuration contains a service; true for any name while
   * there is no configuration.
   */
  readonly isService: (name: string) => boolean;
}

/**
 * Validates a parsed report. A lifetime has one service and one address, so a
 * report that changes either is refused.
 *
 * @param report The report.
 * @param context What is known about the server, the time and the services.
 * @returns The refusal, or undefined if the report is valid.
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
  // A server known only from a notice of its departure has no service.
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
