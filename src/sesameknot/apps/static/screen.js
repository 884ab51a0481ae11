"use strict";

// The state arrives every second; after this time the page shows that it is stale.
const SILENCE_LIMIT_MS = 4000;
// Above this number of hosts only hosts with a problem are shown as tiles.
const HOST_TILE_LIMIT = 27;

const LEVEL_SIGNS = { critical: "\u25B2 CRITICAL", warning: "\u25C6 WARNING", notice: "\u25CF NOTICE" };
const ROLLOUT_SIGNS = {
  planned: "\u25CB PLANNED",
  running: "\u25B6 RUNNING",
  paused: "\u2016 PAUSED",
  complete: "\u2713 COMPLETE",
  stopped: "\u25A0 STOPPED",
};
const HOST_SIGNS = {
  fresh: "\u2713 fresh",
  stale: "\u25B2 STALE",
  silent: "\u25B2 NO ANSWER",
  dead: "\u2715 DEAD",
  suspect: "? suspect",
  leaving: "\u2192 leaving",
  "platform-outage": "\u25C6 no platform",
};

let receivedMs = 0;

function element(tag, className, text) {
  const node = document.createElement(tag);
  if (className) node.className = className;
  // Names come from settings; textContent keeps markup in them inert.
  if (text !== undefined) node.textContent = text;
  return node;
}

function fill(id, nodes) {
  document.getElementById(id).replaceChildren(...nodes);
}

function percent(share) {
  if (share > 0 && share < 0.1) return (share * 100).toFixed(1) + "%";
  return Math.round(share * 100) + "%";
}

function numberOr(value, digits, unit) {
  return value === null ? "\u2013" : value.toFixed(digits) + unit;
}

function alarmNode(alarm) {
  const node = element("div", "alarm " + alarm.level);
  node.append(element("span", "level", LEVEL_SIGNS[alarm.level]));
  node.append(element("span", "", alarm.code + ": " + alarm.text));
  return node;
}

function targetNode(row) {
  const node = element("div", "");
  const sign = row.met === null ? "\u2013" : row.met ? "\u2713 met" : "\u25B2 MISSED";
  node.append(element("span", "", row.name + " "));
  node.append(element("span", "value" + (row.met === false ? " bad" : ""), row.value));
  node.append(element("span", "target", " (" + row.target + ") " + sign));
  return node;
}

function versionNode(row) {
  const node = element("tr", "role-" + row.role);
  node.append(element("td", "", row.team + "  " + row.model + " / " + row.version));
  node.append(element("td", "", row.role.toUpperCase()));
  const bar = element("td", "bar");
  const fillBar = element("div", "");
  fillBar.style.width = row.request_share * 100 + "%";
  bar.append(fillBar);
  node.append(bar);
  const cells = [
    [percent(row.request_share), false],
    [row.requests_per_s.toFixed(1), false],
    [percent(row.error_share), row.error_share > 0.05],
    [numberOr(row.rating, 2, ""), false],
    [numberOr(row.first_token_ms, 0, " ms"), false],
    [numberOr(row.cost_per_request_microunits, 0, ""), false],
    [String(row.caller_count), false],
  ];
  for (const [text, bad] of cells) {
    node.append(element("td", "number" + (bad ? " bad" : ""), text));
  }
  return node;
}

function stepNode(row, share, index) {
  const complete = row.state === "complete";
  const done = complete || index < row.step;
  const present = !complete && row.state !== "planned" && index === row.step;
  const sign = done ? "\u2713 " : present ? ROLLOUT_SIGNS[row.state][0] + " " : "";
  const name = "step" + (done ? " done" : "") + (present ? " present" : "");
  return element("div", name, sign + percent(share));
}

function rolloutNode(row) {
  const node = element("div", "rollout");
  const title = element("div", "");
  title.append(element("span", "state", ROLLOUT_SIGNS[row.state]));
  title.append(element("span", "", row.team + "  " + row.name + ": " + row.model + " " +
    row.from_version + " \u2192 " + row.to_version));
  const steps = element("div", "steps");
  steps.append(...row.step_shares.map((share, index) => stepNode(row, share, index)));
  const exposure = "exposure " + percent(row.request_share) + " of requests, " +
    row.caller_count + " callers; holder " + (row.holder || "none") +
    (row.reason ? "; " + row.reason : "");
  node.append(title, steps, element("div", "detail", exposure));
  return node;
}

function domainNode(row) {
  const out = row.state === "out";
  const node = element("div", "tile" + (out ? " out" : ""));
  node.append(element("span", "", (out ? "\u2715 OUT " : "\u2713 IN ") + row.name));
  node.append(element("span", "detail", row.fresh_count + " of " + row.host_count +
    " hosts fresh, " + row.endpoint_count + " endpoints"));
  return node;
}

function hostNode(row) {
  const fresh = row.condition === "fresh";
  const node = element("div", "tile" + (fresh ? "" : " problem"));
  node.append(element("span", "", row.name));
  const age = row.config_age_ms === null ? "age unknown" :
    (row.config_age_ms / 1000).toFixed(1) + " s";
  node.append(element("span", "detail",
    (HOST_SIGNS[row.condition] || row.condition) + ", " + age));
  return node;
}

function showHosts(hosts) {
  const fresh = hosts.filter((host) => host.condition === "fresh");
  const ages = hosts.map((host) => host.config_age_ms).filter((age) => age !== null);
  const oldest = ages.length ? (Math.max(...ages) / 1000).toFixed(1) + " s" : "unknown";
  document.getElementById("host-summary").textContent =
    fresh.length + " of " + hosts.length + " fresh, oldest " + oldest;
  const shown = hosts.length > HOST_TILE_LIMIT ?
    hosts.filter((host) => host.condition !== "fresh") : hosts;
  fill("hosts", shown.map(hostNode));
}

function show(state) {
  const quiet = element("div", "alarm", "\u2713 no alarms");
  fill("alarms", state.alarms.length ? state.alarms.map(alarmNode) : [quiet]);
  fill("targets", state.targets.map(targetNode));
  fill("versions", state.versions.map(versionNode));
  const none = [element("p", "", "none")];
  fill("rollouts", state.rollouts.length ? state.rollouts.map(rolloutNode) : none);
  fill("domains", state.domains.map(domainNode));
  showHosts(state.hosts);
}

function showAge() {
  const ageMs = performance.now() - receivedMs;
  const lost = receivedMs === 0 || ageMs > SILENCE_LIMIT_MS;
  const node = document.getElementById("age");
  node.className = lost ? "lost" : "";
  node.textContent = !lost ? "\u25CF live" : receivedMs === 0 ? "connecting" :
    "\u25B2 NO DATA for " + Math.round(ageMs / 1000) + " s";
  document.getElementById("clock").textContent = new Date().toLocaleTimeString();
}

const events = new EventSource("events");
events.onmessage = (event) => {
  receivedMs = performance.now();
  show(JSON.parse(event.data));
};
setInterval(showAge, 500);
showAge();
