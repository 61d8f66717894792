"""Stand-ins for the scripts of the review: store, promotion call, instances, clients.

They speak the published protocol on loopback addresses, use the standard library only
and record what was sent, answered and run. Proxies are started with the command of the
deploy file.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SERVICE = "stock"
TX_IDLE_MS = 3000
HEARTBEAT_S = 1.2
REGISTRATION_SILENCE_S = 3 * HEARTBEAT_S
PROMOTE_S = 0.3
FOLLOW_S = 1.0  # until an old primary that reaches the new one follows it
SLOTS = 5
MAX_CONNECTIONS = 38
WORK_S = 0.006
RECEIVE_S = 0.001
APPLY_S = 0.02
UNREACHABLE_S = 3.0
GRACE_S = 6
FIRST_PORT, LAST_PORT = 10000, 32000
used_ports = set()
ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, EOFError)
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"})


def now():
    return time.monotonic()


class Record:
    """Writes `record.txt` and keeps the events for the check."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = now()

    def write(self, text):
        self.file.write(f"{now() - self.began:9.4f} {text}\n")

    def close(self):
        self.file.close()


def free_ports(count):
    """Return consecutive free ports below the ephemeral range, not returned before."""
    while True:
        first = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT - count)
        ports = range(first, first + count)
        if used_ports.isdisjoint(ports) and all(is_free(port) for port in ports):
            used_ports.update(ports)
            return list(ports)


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


async def read_http(reader):
    """Return method, path, headers and body of a request or a response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
    headers = {name.lower(): value for name, value in headers.items()}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    first = head[0].split(" ")
    return first[0], first[1], headers, body


class HttpServer:
    """HTTP/1.1 server with JSON bodies."""

    def __init__(self, handle):
        self.handle = handle

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        with contextlib.suppress(*ERRORS):
            while True:
                method, target, headers, body = await read_http(reader)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, answer = await self.handle(
                    method, unquote(url.path), query, headers, body
                )
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.lease_ids = itertools.count(1)
        self.changed = asyncio.Event()

    async def start(self):
        self.http = await HttpServer(self._handle).start()
        self.port = self.http.port
        self.task = asyncio.create_task(self._expire())

    def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        created = self.items[key]["created_rev"] if key in self.items else revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created_rev": created,
            "lease_id": lease,
        }
        self._notify(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify({"key": key, "revision": self.revision, "removed": True})

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def _notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (until, _) in list(self.leases.items()):
                if until < now():
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease_id"] == lease:
                self.delete(key)

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "as_of": self.revision})
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return 200, {"items": items, "more_pages": False, "as_of": self.revision}
        if path == "/kv-watch":
            return 200, await self._watch(query)
        data = json.loads(body) if body else {}
        if path == "/kv-txn":
            return self._transact(data)
        if path == "/kv-lease":
            lease = next(self.lease_ids)
            ttl_ms = max(data["ttl_ms"], 1000)
            self.leases[lease] = (now() + ttl_ms / 1000, ttl_ms / 1000)
            return 200, {"lease_id": lease, "ttl_ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (now() + ttl_s, ttl_s)
        else:
            self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = now() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            if events or now() >= until:
                return {"events": events, "as_of": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), until - now())

    def _transact(self, data):
        for row in data["precondition"]:
            item = self.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                items = [
                    self.items[r["key"]]
                    for r in data["precondition"]
                    if r["key"] in self.items
                ]
                return 412, {"items": items}
        leases = [write.get("lease_id", 0) for write in data["writes"]]
        if any(lease and lease not in self.leases for lease in leases):
            return 404, {}
        self.revision += 1
        revision = self.revision
        for write in data["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease_id", 0), revision)
        for key in data["deletes"]:
            self.delete(key)
        return 200, {"revision": revision}


class Rejected(Exception):
    """Error answer of an instance."""


class Session:
    """State of one connection at an instance."""

    def __init__(self):
        self.values = {}
        self.prepared = {}
        self.reset()

    def reset(self):
        self.open = self.read_only = self.failed = False
        self.term = 0
        self.writes = []

    @property
    def state(self):
        return "E" if self.failed else "T" if self.open else "I"


class Instance:
    """One database instance.

    `cut_from` holds the names of proxies and instances that it has no path to: what
    comes from them stays unread and gets no answer.
    """

    def __init__(self, group, zone):
        self.group = group
        self.name = f"i-{secrets.token_hex(5)}"
        self.zone = zone
        self.role = "replica"
        self.term = 1
        self.held = 0
        self.received = []  # entries (term, number, id of the statement, writes)
        self.applied = 0
        self.cut_from = set()
        self.dark = False  # silent after a crash
        self.slots = asyncio.Semaphore(SLOTS)
        self.connections = 0
        self.progress = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 21)
        self.port = server.sockets[0].getsockname()[1]
        self.tasks = [asyncio.create_task(self._follow())]

    def position(self, applied=False):
        log = self.received[: self.applied] if applied else self.received
        return (log[-1][0], log[-1][1]) if log else (self.term, 0)

    def reaches(self, other):
        if self.dark or other.dark:
            return False
        return other.name not in self.cut_from and self.name not in other.cut_from

    async def _follow(self):
        """Receive the log of the newest primary that this instance reaches."""
        behind_since = None
        while True:
            await asyncio.sleep(RECEIVE_S)
            leaders = [
                i
                for i in self.group.instances
                if i is not self and i.role == "primary" and self.reaches(i)
            ]
            leader = max(leaders, key=lambda i: i.term, default=None)
            if leader is None or leader.term < self.term or self.held > leader.term:
                continue
            if self.role == "primary":
                if leader.term == self.term:
                    continue
                behind_since = behind_since or now()
                if now() - behind_since < FOLLOW_S:
                    continue
                self.role = "replica"
            behind_since = None
            if self.term < leader.term:
                common = 0
                for own, other in zip(self.received, leader.received):
                    if own != other:
                        break
                    common += 1
                del self.received[common:]
                self.applied = min(self.applied, common)
                self.term, self.held = leader.term, 0
            new = leader.received[len(self.received) :]
            if new:
                self.received.extend(new)
                asyncio.get_running_loop().call_later(
                    APPLY_S, self._apply, len(self.received), self.term
                )
                leader.progress.set()
                leader.progress = asyncio.Event()

    def _apply(self, count, term):
        if term == self.term:
            self.applied = max(self.applied, min(count, len(self.received)))

    async def _serve(self, reader, writer):
        self.connections += 1
        session = Session()
        with contextlib.suppress(*ERRORS):
            line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            _, service, who, expected = [*line.split(" "), "", ""][:4]
            await self._wait_for_path(who)
            if service != SERVICE or expected not in ("", self.name):
                await self._send(writer, f"ERROR WRONGNODE {self.name}")
            elif self.connections > MAX_CONNECTIONS:
                await self._send(writer, f"ERROR CONNLIMIT {self.name}")
            else:
                await self._send(writer, f"READY I {self._token()}")
                while True:
                    line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                    await self._wait_for_path(who)
                    if line == "TERMINATE":
                        break
                    lines = await self._answer(session, who, line, reader)
                    await self._wait_for_path(who)
                    await self._send(writer, *lines)
        self.connections -= 1
        writer.close()

    async def _wait_for_path(self, who):
        """Wait while there is no path; a connection without one is dropped after 3 s.

        Nothing of that reaches the other end before there is a path again.
        """
        until = now() + UNREACHABLE_S
        dropped = False
        try:
            while self.dark or who in self.cut_from:
                if not dropped and now() > until:
                    dropped = True
                    self.connections -= 1
                await asyncio.sleep(0.01)
        finally:
            self.connections += dropped
        if dropped:
            raise ConnectionResetError

    async def _send(self, writer, *lines):
        writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))
        await writer.drain()

    def _token(self):
        term, number = self.position(applied=self.role != "primary")
        return f"{term}.{number}"

    async def _answer(self, session, who, line, reader):
        _, request_id, text = line.split(" ", 2)
        try:
            rows, signature = await self._run(session, who, request_id, text, reader)
            lines = [f"DATAROW {row}" for row in rows] + [f"COMPLETE {signature}"]
        except Rejected as error:
            if session.open and error.args[0] != "BUSY":
                session.failed = True
            lines = [f"ERROR {error.args[0]} {self.name}"]
        return [*lines, f"READY {session.state} {self._token()}"]

    async def _run(self, session, who, request_id, text, reader):
        since = None
        if text.startswith("SINCE "):
            _, token, text = text.split(" ", 2)
            since = tuple(int(part) for part in token.split("."))
        word, _, rest = text.partition(" ")
        if word == "ROLLBACK":
            session.reset()
            return [], "-"
        if session.failed:
            raise Rejected("MALFORMED")
        if word == "STATUS":
            return [self._status()], "-"
        if word in ("PAUSE", "RESUME", "STEPDOWN"):
            self._control(word, int(rest or 0))
            return [self._status()], "-"
        if word == "RESET":
            session.values, session.prepared = {}, {}
            return [], "-"
        if word == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
            return [], "-"
        if word == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            session.prepared[name] = kind
            return [], "-"
        if word == "BEGIN":
            self._begin(session, rest == "READ", since)
            return [], "-"
        if session.open and not session.read_only and not self._leads(session):
            if not (word == "COMMIT" and not session.writes):
                raise Rejected("READONLY")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                raise Rejected("NOSUCHSTMT")
            word = session.prepared[name]
        async with self.slots:
            await asyncio.sleep(WORK_S)
        return await self._run_item(
            session, who, request_id, text, word, rest, since, reader
        )

    async def _run_item(
        self, session, who, request_id, text, word, rest, since, reader
    ):
        signature = f"{self.name}.{secrets.token_hex(8)}"
        if word == "READ":
            log = self.received if self.role == "primary" else self.received[: self.applied]
            if since is not None and not self._has(log, since):
                raise Rejected("LAGGING")
            rows = [f"{len(log)}"]
            self.group.reads[request_id] = (now(), self.name, [e[2] for e in log])
            self.group.record.write(
                f"run {request_id} {text!r} at {self.name} ({self.role}, term "
                f"{self.term}) for {who}, log has {len(log)} commits"
            )
            return rows, signature
        if word == "WRITE":
            if session.open:
                session.writes.append(rest)
                return [], signature
            await self._commit(request_id, [rest], who, reader)
            return [], signature
        writes = session.writes  # COMMIT
        if writes:
            await self._commit(request_id, writes, who, reader)
        session.reset()
        return [], signature

    def _has(self, log, since):
        """Return whether a log has the entry at a position."""
        term, number = since
        return not number or (len(log) >= number and log[number - 1][0] == term)

    def _leads(self, session):
        return self.role == "primary" and self.term == session.term

    def _begin(self, session, read_only, since):
        if not read_only and self.role != "primary":
            raise Rejected("READONLY")
        log = self.received if self.role == "primary" else self.received[: self.applied]
        if since is not None and not self._has(log, since):
            raise Rejected("LAGGING")
        session.open, session.read_only, session.term = True, read_only, self.term

    async def _commit(self, request_id, writes, who, reader):
        """Append an entry and wait until one replica has received it."""
        if self.role != "primary":
            raise Rejected("READONLY")
        term = self.term
        entry = (term, len(self.received) + 1, request_id, tuple(writes))
        self.received.append(entry)
        self.applied = len(self.received)
        while not any(
            i is not self and entry in i.received[-2000:] for i in self.group.instances
        ):
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.progress.wait(), 0.05)
            if reader.at_eof() or self.role != "primary" or self.term != term:
                raise ConnectionResetError  # nothing is answered
        self.group.record.write(
            f"commit {request_id} as {term}.{entry[1]} at {self.name} for {who}"
        )

    def _control(self, word, term):
        if word == "PAUSE" and self.role == "replica":
            if term > max(self.term, self.held):
                self.held = term
        elif word == "RESUME":
            self.held = 0
        elif word == "STEPDOWN" and self.role == "primary" and self.term < term:
            self.role = "replica"

    def _status(self):
        term, number = self.position()
        term = term if self.received else self.term
        return (
            f"{self.role} {self.term} {term}.{number} {self.held} 0 "
            f"{SLOTS - self.slots._value} {self.connections}"
        )

    def entry(self, state="ready"):
        return {
            "service": SERVICE,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": SLOTS,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": int(now() * 1000),
            "born": 1,
            "db_role": self.role,
        }


class Group:
    """A service of three instances, and the promotion call."""

    def __init__(self, store, record, zones):
        self.store = store
        self.record = record
        self.reads = {}
        self.instances = [Instance(self, zone) for zone in zones]
        self.instances[0].role = "primary"
        self.promotions = []

    async def start(self):
        for instance in self.instances:
            await instance.start()
        self.http = await HttpServer(self._promote).start()
        self.port = self.http.port
        self.task = asyncio.create_task(self._beat())

    async def _beat(self):
        last = {}
        while True:
            for instance in self.instances:
                if instance.dark:
                    at, _ = last.get(instance.name, (0.0, None))
                    if now() - at > REGISTRATION_SILENCE_S:
                        self.store.delete(f"servers/{instance.name}")
                    continue
                shown = (instance.role, instance.port)
                at, before = last.get(instance.name, (0.0, None))
                if shown != before or now() - at > HEARTBEAT_S:
                    last[instance.name] = (now(), shown)
                    value = json.dumps(instance.entry()).encode()
                    self.store.put(f"servers/{instance.name}", value)
            await asyncio.sleep(0.05)

    async def _promote(self, method, path, query, headers, body):
        data = json.loads(body)
        holder = headers["rosemaryward-lease-holder"]
        token = int(headers["rosemaryward-fencing-token"])
        self.record.write(f"promotion of {data['id']} by {holder}, token {token}")
        self.promotions.append((now(), holder, token, data["id"]))
        instance = next((i for i in self.instances if i.name == data["id"]), None)
        if instance is None or instance.dark:
            return 409, {}
        if instance.role != "primary":
            asyncio.get_running_loop().call_later(PROMOTE_S, self._lead, instance)
        return 200, {}

    def _lead(self, instance):
        if instance.role == "primary" or instance.dark:
            return
        instance.term = max(i.term for i in self.instances) + 1
        instance.role, instance.held = "primary", 0
        instance.applied = len(instance.received)
        self.record.write(
            f"{instance.name} leads term {instance.term} with "
            f"{len(instance.received)} commits"
        )


def configuration(version, routes):
    return {
        "version": version,
        "routes": [
            {
                "database": name,
                "service": SERVICE,
                "route_type": kind,
                "timeout_ms": 1000,
                "target_latency_ms": 500,
                "priority": 1,
                "max_staleness_ms": staleness_ms,
            }
            for name, (kind, staleness_ms) in routes.items()
        ],
        "services": [
            {"name": SERVICE, "max_conns": MAX_CONNECTIONS, "sync_replicas": 1}
        ],
        "limits": {"tx_idle_ms": TX_IDLE_MS},
    }


class Proxy:
    """One process of the deploy file."""

    def __init__(self, name, zone, zones, store, group, folder):
        self.name, self.zone, self.folder = name, zone, folder
        ports = free_ports(18)
        self.front, self.ready = ports[0], ports[1]
        self.path = folder / f"{name}.json"
        self.process = None
        self.ends = []
        self.stopping = False
        self.settings = {
            "node_name": name,
            "role": "proxy",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip": HOST,
            "zone": zone,
            "region": zones[zone],
            "zones": zones,
            "listen": {
                "front": f"{HOST}:{self.front}",
                "ready": f"{HOST}:{self.ready}",
            },
            "internal_ports": [ports[2], ports[17]],
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4300,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": {"grace_s": GRACE_S},
            "platform": {"address": f"{HOST}:{store.port}"},
            "cloud_api": {"address": f"{HOST}:{group.port}"},
        }
        self.path.write_text(json.dumps(self.settings))

    async def run(self):
        """Start the process, and start it again after a short delay when it ends."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["proxy"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ROSEMARYWARD_BOOT"] = str(self.path)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            while not self.stopping:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
                status = await self.process.wait()
                if not self.stopping:
                    self.ends.append((now(), status))
                    await asyncio.sleep(0.5)

    async def is_ready(self):
        with contextlib.suppress(*ERRORS):
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return (await read_http(reader))[1] == "200"
            finally:
                writer.close()
        return False

    def kill(self):
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)


class Broken(Exception):
    """A session ended without a complete answer."""


class Client:
    """One session of a client."""

    def __init__(self, proxy, database):
        self.proxy, self.database = proxy, database

    async def __aenter__(self):
        try:
            self.reader, self.writer = await asyncio.open_connection(
                HOST, self.proxy.front
            )
            self.writer.write(f"STARTUP {self.database} client\r\n".encode())
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)
        except (*ERRORS, asyncio.TimeoutError) as error:
            raise Broken(repr(error)) from error
        if not line.startswith(b"READY"):
            self.writer.close()
            raise Broken(line.decode())
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    async def query(self, text, timeout_s=3.0):
        """Return id, error code (empty for a success), rows, state and times."""
        request_id = secrets.token_hex(8)
        sent_at = now()
        rows, code = [], ""
        try:
            self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout_s)
                word, _, rest = line[:-2].decode("latin-1").partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word == "ERROR":
                    code = rest.partition(" ")[0]
                elif word == "READY":
                    return request_id, code, rows, rest[:1], sent_at, now()
        except (*ERRORS, asyncio.TimeoutError) as error:
            raise Broken(request_id) from error


class Fleet:
    """Store, one service and six proxies; a context manager that ends all of them."""

    ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}

    def __init__(self, folder, routes, proxies_per_zone=2):
        self.record = Record(Path(folder) / "record.txt")
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.routes = routes
        self.per_zone = proxies_per_zone
        self.proxies = []
        self.tasks = []

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        self.store = Store()
        await self.store.start()
        self.group = Group(self.store, self.record, list(self.ZONES))
        await self.group.start()
        value = json.dumps(configuration(1, self.routes)).encode()
        self.store.put("op/config", value)
        for zone in self.ZONES:
            for n in range(1, self.per_zone + 1):
                proxy = Proxy(
                    f"{zone}-{n}", zone, self.ZONES, self.store, self.group, self.temp
                )
                self.proxies.append(proxy)
                self.tasks.append(asyncio.create_task(proxy.run()))
        for instance in self.group.instances:
            self.record.write(
                f"instance {instance.name} in {instance.zone}: {instance.role}"
            )

    async def wait_until_ready(self, limit_s=30.0):
        """Wait until all proxies are ready and the service has a record."""
        until = now() + limit_s
        while now() < until:
            ready = [await proxy.is_ready() for proxy in self.proxies]
            if all(ready) and self.holder() and self.primary():
                return True
            await asyncio.sleep(0.2)
        ended = {proxy.name: proxy.ends for proxy in self.proxies if proxy.ends}
        self.record.write(f"not ready in {limit_s} s; processes ended: {ended}")
        return False

    def holder(self):
        """Return the name of the proxy that holds the duty, empty for none."""
        record = self.store.value("rosemaryward-duty")
        return "" if record is None else record["holder"]

    def primary(self):
        """Return the id of the primary that the proxies have agreed on."""
        record = self.store.value(f"rosemaryward/groups/{SERVICE}")
        return "" if record is None or not record["serving"] else record["primary"]

    async def __aexit__(self, *_):
        for proxy in self.proxies:
            proxy.stopping = True
            proxy.kill()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if os.environ.get("KEEP"):
            print(self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


def run_case(case):
    """Run a case and end the process with its status, 2 if it fails by itself."""
    status = 2

    async def run():
        nonlocal status
        end = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end)
        try:
            status = await case
        except (Exception, asyncio.CancelledError):
            traceback.print_exc()
        sys.stdout.flush()
        os._exit(status)  # open connections of the stand-ins end with the process

    asyncio.run(run())
