const REFUSED_WEIGHT = /;\s*q=0(\.0*)?\s*$/i;

/**
 * Tells whether a request accepts the content coding of its response (RFC 9110,
 * section 12.5.3). One that names none gets its body uncoded.
 *
 * @param accepted Value of the request's `accept-encoding` header, empty without one.
 * @param coding Value of the response's `content-encoding` header.
 */
export function canAcceptCoding(
  accepted: string,
  coding: string,
): boolean {
  const names = accepted.split(",")
    .filter((entry) => !REFUSED_WEIGHT.test(entry))
    .map(getName)
    .filter((name) => name !== "");
  return coding.split(",").every((entry) =>
    names.includes(getName(entry)) || names.includes("*")
  );
}

/** Returns the name of a coding without its weight. */
function getName(entry: string): string {
  const [name = ""] = entry.split(";");
  return name.trim().toLowerCase();
}
