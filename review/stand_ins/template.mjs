// Fills the settings template of the deploy file, as the deployment page describes it.

function lookUp(name, scopes) {
  if (name === ".") return scopes[0].value;
  if (name === "@") return scopes[0].key;
  const [first, ...rest] = name.split(".");
  for (const { value } of scopes) {
    if (value === null || typeof value !== "object" || !(first in value)) {
      continue;
    }
    return rest.reduce((inner, key) => inner?.[key], value[first]);
  }
  return undefined;
}

function isGiven(value) {
  if (value === undefined || value === null || value === false) return false;
  if (Array.isArray(value)) return value.length > 0;
  return true;
}

function toText(value) {
  if (value === undefined || value === null) return "";
  if (Array.isArray(value)) return value.join(",");
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

function listEntries(value) {
  if (Array.isArray(value)) {
    return value.map((entry, index) => ({ value: entry, key: index }));
  }
  if (typeof value === "object") {
    return Object.entries(value).map(([key, entry]) => ({ value: entry, key }));
  }
  return [{ value, key: "" }];
}

const TAG = /\{\{([#^/]?)([^{}]*)\}\}/g;

function render(text, scopes) {
  let output = "";
  let at = 0;
  TAG.lastIndex = 0;
  for (let match = TAG.exec(text); match !== null; match = TAG.exec(text)) {
    const [tag, kind, name] = match;
    output += text.slice(at, match.index);
    at = match.index + tag.length;
    if (kind === "") {
      const [path, filter] = name.split("|");
      const value = lookUp(path, scopes);
      output += filter === "json" ? JSON.stringify(value) : toText(value);
      continue;
    }
    const close = `{{/${name}}}`;
    const end = text.indexOf(close, at);
    const inner = text.slice(at, end);
    at = end + close.length;
    const value = lookUp(name, scopes);
    if (kind === "^" && !isGiven(value)) output += render(inner, scopes);
    if (kind === "#" && isGiven(value)) {
      for (const entry of listEntries(value)) {
        output += render(inner, [entry, ...scopes]);
      }
    }
    TAG.lastIndex = at;
  }
  return output + text.slice(at);
}

/** Fills a template from the fields of a process's settings. */
export function fillTemplate(text, fields) {
  return render(text, [{ value: fields, key: "" }]);
}
