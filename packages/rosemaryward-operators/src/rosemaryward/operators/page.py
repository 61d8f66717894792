"""Status page: static HTML that asks for a token and then loads the status."""

__all__ = ["STATUS_PAGE", "STATUS_PAGE_HEADERS"]

STATUS_PAGE_HEADERS = {
    "content-security-policy": (
        "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; "
        "connect-src 'self'; form-action 'none'; frame-ancestors 'none'"
    ),
    "referrer-policy": "no-referrer",
}

# The script inserts values only through textContent, so names cannot inject markup.
STATUS_PAGE = """<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>rosemaryward</title>
<style>
body { font: 15px sans-serif; margin: 2em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: left; }
</style>
<h1>rosemaryward</h1>
<form id="login">
<label>Token <input id="token" type="password" autocomplete="off" required></label>
<button>Show status</button>
</form>
<p id="message" role="status"></p>
<div id="status"></div>
<script>
const COLUMNS = {
  proxies: ["host_id", "state", "region", "failure_domain", "endpoints"],
  primaries: ["database", "instance", "term"],
  endpoints: ["database", "instance", "owner", "role", "term", "lag_s", "reachable",
              "running", "slots", "queue", "leaving"],
};
function addCell(row, kind, value) {
  const cell = document.createElement(kind);
  const text = value !== null && typeof value === "object"
    ? Object.entries(value).map(([k, v]) => `${k} ${v}`).join(", ") : value;
  cell.textContent = text === null || text === undefined ? "" : String(text);
  row.append(cell);
}
function buildTable(name, items) {
  const table = document.createElement("table");
  const caption = table.createCaption();
  caption.textContent = name;
  const head = table.insertRow();
  COLUMNS[name].forEach(column => addCell(head, "th", column));
  for (const item of items) {
    const row = table.insertRow();
    COLUMNS[name].forEach(column => addCell(row, "td", item[column]));
  }
  return table;
}
async function load() {
  const message = document.getElementById("message");
  const token = document.getElementById("token").value;
  const headers = {authorization: `Bearer ${token}`};
  const reply = await fetch("/v1/status", {headers});
  const body = await reply.json();
  if (!reply.ok) {
    message.textContent = body.error.message;
    return;
  }
  message.textContent = `${body.host_id} in ${body.environment}: ` +
    (body.ready ? "ready" : "not ready") +
    `, configuration version ${body.configuration_version}` +
    `, ${body.caller_connections} caller connections`;
  const place = document.getElementById("status");
  place.replaceChildren(...Object.keys(COLUMNS).map(n => buildTable(n, body[n])));
}
document.getElementById("login").addEventListener("submit", event => {
  event.preventDefault();
  load().catch(error => {
    document.getElementById("message").textContent = String(error);
  });
});
</script>
</html>
"""
