/**
 * Headers that one connection keeps to itself.
 *
 * @module
 */

const HOP_BY_HOP = new Set([
  "connection",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Request headers that this client sets itself. */
const OWN_HEADERS = new Set([
  "content-length",
  "dotterelmoor-deadline-ms",
  "dotterelmoor-request-id",
  "host",
]);

type RawHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Builds request headers without hop-by-hop headers and our own ones. */
export function buildRequestHeaders(
  headers: Readonly<Record<string, string>>,
  requestId: string,
): Record<string, string> {
  const kept = takeEndToEnd(headers);
  for (const name of OWN_HEADERS) delete kept[name];
  kept["dotterelmoor-request-id"] = requestId;
  return kept;
}

/** Takes the end-to-end headers; repeated ones are joined with a comma. */
export function takeEndToEnd(headers: RawHeaders): Record<string, string> {
  const lower = Object.entries(headers).map(([name, value]) =>
    [name.toLowerCase(), value] as const
  );
  const dropped = new Set(HOP_BY_HOP);
  for (const [name, value] of lower) {
    if (name !== "connection" || value === undefined) continue;
    for (const listed of String(value).split(",")) {
      dropped.add(listed.trim().toLowerCase());
    }
  }
  const kept: Record<string, string> = {};
  for (const [name, value] of lower) {
    if (value === undefined || dropped.has(name)) continue;
    kept[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return kept;
}
