"""Test bed of the second review: stand-ins of the platform, and real proxies.

The store, a replication group with its promotion call, load balancer probes and clients
follow the users' pages and use the standard library only. The proxies are the project's
own processes, started with the command of `deploy/system.toml` on loopback addresses.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COMMAND = ("python3", "-S", "deploy/proxy.py")  # `run` of deploy/system.toml
ZONES = (("hobart-a", "hobart"), ("launceston-a", "launceston"), ("hobart-b", "hobart"))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LINE_LIMIT = 4 << 20
CASE_LIMIT_S = 110
PASSED_ENVIRONMENT = ("PATH", "HOME", "LANG")


def now() -> float:
    """Return the time of the record in seconds."""
    return time.monotonic()


class Record:
    """Lines about what was sent, answered and run, in the order of their times."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", buffering=1)
        self.started_at = now()

    def add(self, *words: object) -> None:
        """Write a line."""
        at = f"{now() - self.started_at:8.3f}"
        print(at, *words, file=self.file)

    def say(self, *words: object) -> None:
        """Write a line, and print it too."""
        self.add(*words)
        print(*words)


def shorten(text: str) -> str:
    """Return the first part of a long statement."""
    return text if len(text) < 200 else f"{text[:80]}... ({len(text)} characters)"


def free_ports(count: int, hosts: list[str]) -> int:
    """Return the first of `count` consecutive ports that are free on all addresses."""
    while True:
        first = random.randrange(20_000, 30_000)
        try:
            for host, port in itertools.product(hosts, range(first, first + count)):
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return first


# HTTP, as far as the store and the promotion call need it


async def serve_http(handle, host, port, tracker):
    """Serve JSON over HTTP/1.1; `handle` gets method, path, query and body."""

    async def serve(reader, writer):
        tracker.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                data = json.loads(body) if body else {}
                status, reply = await handle(method, url.path, query, data, headers)
                if status == 0:  # the answer is lost
                    return
                content = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            tracker.discard(writer)
            writer.close()

    return await asyncio.start_server(serve, host, port)


class Store:
    """The platform's metadata store."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.leases: dict[int, list[float]] = {}
        self.events: list[tuple[int, dict]] = []
        self.changed = asyncio.Event()
        self.writers: set = set()
        self.next_lease = 1
        self.down = False
        self.delay_s = 0.002
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await serve_http(self.handle, "127.0.0.1", 0, self.writers)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def _log(self, event: dict) -> None:
        self.events.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0, new: bool = True) -> int:
        """Write a value; `new` begins a revision."""
        self.revision += new
        old = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": old["created_rev"] if old else self.revision,
            "lease_id": lease,
        }
        self._log(dict(self.items[key]))
        return self.revision

    def remove(self, key: str, new: bool = True) -> None:
        """Remove a key if it exists."""
        if key in self.items:
            self.revision += new
            del self.items[key]
            event = {"key": key, "revision": self.revision, "removed": True}
            self._log(event)

    def value(self, key: str):
        """Return the decoded JSON value of a key, None without one."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def expire(self) -> None:
        """End leases until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, until) in list(self.leases.items()):
                if until <= now() and not self.down:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease_id"] == lease]:
            self.remove(key)

    async def handle(self, method, path, query, data, headers):
        """Answer one call."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return 503, {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, item | {"as_of": self.revision}
        if path == "/kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            page = [self.items[k] for k in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": page, "more_pages": more, "as_of": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(data)
        if path == "/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(data["ttl_ms"], 1000)
            self.leases[lease] = [ttl / 1000, now() + ttl / 1000]
            return 200, {"lease_id": lease, "ttl_ms": ttl}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            self.leases[lease][1] = now() + self.leases[lease][0]
        else:
            self.end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after, until = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                event
                for revision, event in self.events
                if revision > after and event["key"].startswith(query["prefix"])
            ]
            if found or now() >= until or self.down:
                return 200, {"events": found, "as_of": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), max(until - now(), 0))

    def _transact(self, data):
        rows = data.get("precondition", [])
        present = {r["key"]: self.items.get(r["key"]) for r in rows}
        for row in rows:
            item = present[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [i for i in present.values() if i]}
        writes, deletes = data.get("writes", []), data.get("deletes", [])
        if any(w.get("lease_id") and w["lease_id"] not in self.leases for w in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease_id", 0), new=False)
        for key in deletes:
            self.remove(key, new=False)
        return 200, {"revision": self.revision}


class Instance:
    """One database instance: its log, and the connections of the proxies."""

    def __init__(self, group: "Group", name: str, zone: str) -> None:
        self.group, self.name, self.zone = group, name, zone
        self.log: list[tuple[int, list]] = []  # (term, writes) of each commit
        self.role, self.term, self.held = "replica", group.term, 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.address = ""
        self.writers: set = set()
        self.connections = 0
        self.cut = False  # from the other instances
        self.down = False
        self.server = None

    @property
    def position(self) -> str:
        """Position of the newest entry of the log."""
        return f"{self.log[-1][0] if self.log else min(self.term, self.group.first_term)}.{len(self.log)}"

    async def start(self, host="127.0.0.1", port=0) -> None:
        """Listen for proxies."""
        self.server = await asyncio.start_server(self.serve, host, port, limit=LINE_LIMIT)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop answering; all connections end."""
        self.group.record.add(self.name, "crashes as", self.role, "at", self.position)
        self.down = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self, keeps_log: bool) -> None:
        """Start again at the same address under the same id."""
        if not keeps_log:
            self.log, self.term = [], 0
        if self.group.term > self.term or self.role != "primary":
            self.role = "replica"
        self.held, self.down, self.born = 0, False, int(time.time() * 1000)
        await self.start(port=int(self.address.rpartition(":")[2]))
        self.group.record.add(self.name, "is back as", self.role, "at", self.position)
        self.group.beat()

    def status(self) -> str:
        """Return the row that the control statements answer with."""
        return (
            f"DATAROW {self.role} {self.term} {self.position} {self.held} 0 0 "
            f"{self.connections}"
        )

    def read(self, item: str) -> str | None:
        """Return the newest data of an item."""
        for _, writes in reversed(self.log):
            for key, data in reversed(writes):
                if key == item:
                    return data
        return None

    async def serve(self, reader, writer):
        """Serve one connection of a proxy."""
        self.writers.add(writer)
        self.connections += 1
        session = InstanceSession(self, writer)
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            words = line.split(" ")
            wrong = words[1] != self.group.name or (
                len(words) > 3 and words[3] != self.name
            )
            if words[0] != "STARTUP" or wrong:
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            if self.connections > self.group.max_conns:
                writer.write(b"ERROR CONNLIMIT -\r\n")
                return
            writer.write(f"READY I {self.position}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                if line.startswith("TERMINATE"):
                    return
                _, request, text = line.split(" ", 2)
                self.group.record.add(self.name, "runs", request, shorten(text))
                lines = await session.run(request, text)
                if lines is None:  # the answer is lost
                    return
                ready = f"READY {session.state} {self.position}"
                data = "".join(f"{x}\r\n" for x in [*lines, ready])
                writer.write(data.encode("latin-1"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()


class InstanceSession:
    """State of one connection to an instance."""

    def __init__(self, instance: Instance, writer) -> None:
        self.instance, self.writer = instance, writer
        self.state, self.writes, self.read_only = "I", [], False
        self.prepared: dict[str, tuple[str, str]] = {}
        self.values: dict[str, str] = {}

    def fail(self, code: str) -> list[str]:
        """Answer with an error, which fails an open transaction."""
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.instance.name}"]

    async def run(self, request: str, text: str) -> list[str] | None:
        """Run a statement; return the lines of its answer before READY."""
        instance, group = self.instance, self.instance.group
        word, _, rest = text.partition(" ")
        if word == "SINCE":
            token, _, text = rest.partition(" ")
            term, number = map(int, token.split("."))
            have = tuple(map(int, instance.position.split(".")))
            if have < (term, number):
                return self.fail("LAGGING")
            word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            if word == "PAUSE" and instance.role == "replica":
                if int(rest) > instance.term:
                    instance.held = int(rest)
            elif word == "RESUME":
                instance.held = 0
            elif word == "STEPDOWN" and int(rest) > instance.term:
                instance.role = "replica"
            return [instance.status(), "COMPLETE -"]
        if self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED -"]
        done = ["COMPLETE -"]
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return done
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return done
        if word == "PREPARE":
            parts = rest.split(" ", 2)
            if len(parts) < 3 or parts[1] not in ("READ", "WRITE"):
                return self.fail("MALFORMED")
            shape = parts[2] if group.keeps_shapes else "-"
            self.prepared[parts[0] if group.keeps_shapes else ""] = (parts[1], shape)
            return done
        if word == "BEGIN":
            self.read_only = rest == "READ"
            if not self.read_only and instance.role != "primary":
                return self.fail("READONLY")
            self.state, self.writes = "T", []
            return done
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return done
        await asyncio.sleep(group.work_s)
        signature = f"COMPLETE {secrets.token_hex(8)}"
        if word == "COMMIT":
            if self.state == "E":
                self.state = "I"
                return ["ERROR ABORTED -"]
            writes, self.state, self.writes = self.writes, "I", []
            if writes:
                return await self._commit(request, writes, signature)
            return [signature]
        shape = ""
        if word == "EXECUTE":
            name, item, *data = rest.split(" ", 2)
            name = name if group.keeps_shapes else ""
            if name not in self.prepared:
                return self.fail("NOSUCHSTMT")
            word, shape = self.prepared[name]
            rest = " ".join([item, *data])
        if word == "READ" or " " in rest:
            group.ran.append((request, word, shape, rest))
        if word == "READ":
            if self.state == "T" and not self.read_only and instance.role != "primary":
                return self.fail("READONLY")
            data = instance.read(rest)
            return ([f"DATAROW {data}"] if data is not None else []) + [signature]
        if word == "WRITE":
            if instance.role != "primary":
                return self.fail("READONLY")
            item, separator, data = rest.partition(" ")
            if not separator:  # a write has data
                return self.fail("MALFORMED")
            if self.state == "T":
                self.writes.append((item, data))
                return [signature]
            return await self._commit(request, [(item, data)], signature)
        return self.fail("MALFORMED")

    async def _commit(self, request, writes, signature):
        instance, group = self.instance, self.instance.group
        if instance.role != "primary":
            return self.fail("READONLY")
        instance.log.append((instance.term, writes))
        number = len(instance.log)
        group.commits.append((request, instance.name, instance.term, number, writes))
        group.record.add(instance.name, "commits", request, instance.position, writes)
        until = now() + 30
        while group.sync_replicas and now() < until:
            others = [i for i in group.instances if i is not instance]
            if any(i.log[number - 1 : number] == instance.log[number - 1 : number] for i in others):
                break
            await asyncio.sleep(0.002)
        return [signature]


class Group:
    """A primary and its replicas, and the call that promotes one."""

    def __init__(self, record: Record, store: Store, name="orders", max_conns=38):
        self.record, self.store, self.name = record, store, name
        self.first_term = self.term = 3
        self.max_conns, self.sync_replicas, self.work_s = max_conns, 1, 0.006
        self.instances = [
            Instance(self, f"i-{secrets.token_hex(4)}", zone) for zone, _ in ZONES
        ]
        self.instances[0].role = "primary"
        self.keeps_shapes = True  # otherwise only the last prepared one is known
        self.ran: list = []
        self.commits: list = []
        self.promotions: list = []
        self.promoted: list = []  # term, instance and its log at that time
        self.writers: set = set()
        self.beats = 0
        self.api = ""

    @property
    def primary(self) -> Instance:
        """Instance that leads the newest term."""
        return next(i for i in self.instances if i.role == "primary" and i.term == self.term)

    async def start(self) -> None:
        """Start the instances and the promotion call."""
        for instance in self.instances:
            await instance.start()
        server = await serve_http(self.promote, "127.0.0.1", 0, self.writers)
        self.api = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def replicate(self) -> None:
        """Copy the primary's log to its replicas until cancelled."""
        while True:
            await asyncio.sleep(0.004)
            for leader in [i for i in self.instances if i.role == "primary"]:
                if leader.cut or leader.down or leader.term != self.term:
                    continue
                for other in self.instances:
                    is_away = other is leader or other.cut or other.down
                    if is_away or other.held or other.role == "primary":
                        continue
                    if other.log != leader.log:
                        other.log = list(leader.log)
                    other.term = leader.term

    def beat(self) -> None:
        """Write the registration of each instance."""
        self.beats += 1
        for instance in self.instances:
            if instance.down:
                continue
            value = {
                "service": self.name,
                "address": instance.address,
                "zone": instance.zone,
                "version": "v1",
                "slots": 3,
                "state": instance.state,
                "warmup_left_ms": 0,
                "db_role": instance.role,
                "sequence": self.beats,
                "born": instance.born,
            }
            self.store.put(f"servers/{instance.name}", json.dumps(value).encode())

    async def keep_registered(self) -> None:
        """Register the instances every 1,200 ms; remove those silent for 3,600 ms."""
        silent: dict = {}
        while True:
            self.beat()
            for instance in self.instances:
                silent[instance] = silent.get(instance, 0) + 1 if instance.down else 0
                if silent[instance] > 3:
                    self.store.remove(f"servers/{instance.name}")
            await asyncio.sleep(1.2)

    async def promote(self, method, path, query, data, headers):
        """Answer a call of `POST /promotion`."""
        token = headers.get("rosemaryward-fencing-token")
        holder = headers.get("rosemaryward-lease-holder")
        self.record.add("promotion", data, "holder", holder, "token", token)
        self.promotions.append((now(), holder, int(token), data["id"]))
        chosen = next((i for i in self.instances if i.name == data["id"]), None)
        if chosen is None or chosen.down:
            return 409, {}
        if chosen.role == "primary" and chosen.term == self.term:
            return 200, {}
        await asyncio.sleep(0.3)
        self.term += 1
        self.promoted.append((self.term, chosen, list(chosen.log)))
        self.record.add(chosen.name, "leads term", self.term, "with", chosen.position)
        chosen.term, chosen.role, chosen.held = self.term, "primary", 0
        self.beat()
        return 200, {}


class Proxy:
    """One proxy process on an address of its own."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet = fleet
        self.zone, self.region = ZONES[number % len(ZONES)]
        self.name = f"frontend-{self.zone}-{number // len(ZONES) + 1}"
        self.ip = f"127.0.{random.randrange(1, 250)}.{number + 1}"
        self.process = None
        self.starting = None
        self.starts = 0
        self.exits: list = []

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, self.fleet.first_port

    @property
    def ready(self) -> tuple[str, int]:
        """Address for the load balancer's probes."""
        return self.ip, self.fleet.first_port + 1

    def settings(self) -> dict:
        """Return the settings file, as in the users' pages for a small deployment."""
        first, fleet = self.fleet.first_port, self.fleet
        return {
            "node_name": self.name,
            "role": "proxy",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip": self.ip,
            "zone": self.zone,
            "region": self.region,
            "zones": dict(ZONES),
            "listen": {"front": f"{self.ip}:{first}", "ready": f"{self.ip}:{first + 1}"},
            "internal_ports": [first + 2, first + 17],
            "seeds": [],
            "bootstrap": fleet.bootstrap,
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
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "bounds": {
                "stable_ms": 4000,
                "drain_ms": 7000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 3000,
                "downgrade_ms": 250,
                "recovery_s": 12,
                "require_fencing": False,
                "thaw_ms": 300,
            },
            "platform": {
                "address": fleet.store_address(self),
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
            "cloud_api": {
                "address": fleet.group.api,
                "rate_per_s": 50.0,
                "duties": ["failover"],
                "duty_per_s": 50.0,
            },
        }

    async def start(self) -> None:
        """Start the process."""
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        environment = {k: os.environ[k] for k in PASSED_ENVIRONMENT if k in os.environ}
        environment["ROSEMARYWARD_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        self.starting = asyncio.ensure_future(
            asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        )
        # If the start is cancelled, the process exists all the same.
        self.process = await asyncio.shield(self.starting)
        log.close()
        self.starts += 1
        self.fleet.record.add(self.name, "started, process", self.process.pid)

    async def supervise(self) -> None:
        """Start the process again whenever it ends, until cancelled."""
        while True:
            await self.start()
            code = await self.process.wait()
            self.exits.append((now(), code))
            self.fleet.record.add(self.name, "ended with", code)
            await asyncio.sleep(0.5)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.fleet.record.add(self.name, "gets", number.name)
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Probe the process once, as the load balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: probe\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def log_text(self) -> str:
        """Return what all processes of this machine have logged."""
        return (self.fleet.folder / f"{self.name}.log").read_text(errors="replace")


class Fleet:
    """The store, a replication group and proxies."""

    def __init__(self, folder: Path, size=6, max_conns=38) -> None:
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.store = Store(self.record)
        self.group = Group(self.record, self.store, max_conns=max_conns)
        self.bootstrap = True
        self.proxies = [Proxy(self, n) for n in range(size)]
        self.first_port = free_ports(20, [proxy.ip for proxy in self.proxies])
        self.version = 10
        self.routes = {"shop": "primary", "browse": "bounded_staleness", "floor": "read_your_writes"}
        self.tasks: list = []

    def store_address(self, proxy: Proxy) -> str:
        """Return the store's address for a proxy."""
        return self.store.address

    def configure(self) -> None:
        """Write a configuration of a higher version."""
        self.version += random.randrange(1, 4)
        routes = [
            {
                "database": database,
                "service": self.group.name,
                "route_type": kind,
                "timeout_ms": 800,
                "target_latency_ms": 500,
                "priority": number,
                "max_staleness_ms": 0 if kind == "primary" else 1500,
            }
            for number, (database, kind) in enumerate(self.routes.items())
        ]
        value = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": self.group.name,
                    "max_conns": self.group.max_conns,
                    "sync_replicas": 1,
                }
            ],
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.put("op/config", json.dumps(value).encode())

    async def __aenter__(self) -> "Fleet":
        await self.store.start()
        await self.group.start()
        self.configure()
        background = [self.store.expire(), self.group.replicate(), self.group.keep_registered()]
        self.tasks = [asyncio.create_task(x) for x in background]
        self.tasks += [asyncio.create_task(p.supervise()) for p in self.proxies]
        try:
            await self.wait_ready(30)
        except BaseException:
            await self.__aexit__()
            raise
        self.bootstrap = False
        return self

    async def wait_ready(self, limit_s: float) -> None:
        """Wait until all proxies are ready; raises `TimeoutError`."""
        until = now() + limit_s
        while now() < until:
            if all([await p.is_ready() for p in self.proxies]):
                if any(k.startswith("rosemaryward/groups/") for k in self.store.items):
                    return
            await asyncio.sleep(0.2)
        raise TimeoutError("the proxies did not get ready")

    async def __aexit__(self, *error) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for proxy in self.proxies:
            if proxy.starting is None:
                continue
            process = await proxy.starting
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        if os.environ.get("KEEP"):
            for proxy in self.proxies:
                Path(os.environ["KEEP"], f"{proxy.name}.log").write_text(proxy.log_text())
        self.temporary.cleanup()


class Answer:
    """Answer to one statement."""

    def __init__(self, rows, word, rest, state) -> None:
        self.rows, self.word, self.rest, self.state = rows, word, rest, state

    @property
    def code(self) -> str:
        """``OK``, or the error's code."""
        return "OK" if self.word == "COMPLETE" else self.rest.split(" ")[0]


class Client:
    """One session of a client."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.reader = self.writer = None

    async def open(self, address, database: str, limit_s=2.0) -> bool:
        """Open a session; return whether it is ready."""
        try:
            async with asyncio.timeout(limit_s):
                self.reader, self.writer = await asyncio.open_connection(*address, limit=LINE_LIMIT)
                self.writer.write(f"STARTUP {database} {self.name}\r\n".encode())
                line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.add(self.name, "cannot open", database, repr(error))
            return False
        self.record.add(self.name, "opens", database, "->", line)
        return line.startswith("READY")

    async def ask(self, text: str, limit_s=5.0) -> Answer | None:
        """Send a statement; return its answer, None if there is none."""
        request = secrets.token_hex(8)
        self.record.add(self.name, "sends", request, shorten(text))
        rows, word, rest = [], "", ""
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
            async with asyncio.timeout(limit_s):
                while True:
                    line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                    kind, _, more = line.partition(" ")
                    if kind == "DATAROW":
                        rows.append(more)
                    elif kind in ("COMPLETE", "ERROR"):
                        word, rest = kind, more
                    else:
                        break
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.add(self.name, "gets no answer to", request, repr(error))
            return None
        self.record.add(self.name, "gets", request, rows[:3], word, rest[:120], line)
        answer = Answer(rows, word, rest, more.split(" ")[0])
        answer.request = request
        return answer

    async def rest(self, until: float) -> str | None:
        """Send nothing until a time; return a message that arrives meanwhile."""
        try:
            async with asyncio.timeout(max(until - now(), 0)):
                line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        except TimeoutError:
            return None
        except (OSError, asyncio.IncompleteReadError):
            line = "connection closed"
        self.record.add(self.name, "gets, while it rests:", line)
        return line

    def close(self) -> None:
        """Close the session."""
        if self.writer is not None:
            self.writer.close()


def trouble() -> bool:
    """Return whether the case brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _run(case, folder: Path) -> int:
    """Run a case; a SIGTERM or SIGINT ends it, with all processes that it started."""
    task = asyncio.create_task(case(folder))
    ending = False

    def end() -> None:
        """Cancel the case once; `timeout` signals the process and its group."""
        nonlocal ending
        if not ending:
            ending = True
            task.cancel()

    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, end)
    return await asyncio.wait_for(task, CASE_LIMIT_S)


def run_case(file: str, case) -> None:
    """Run a case, a function of a folder that returns the exit status; exit with it."""
    folder = Path(file).resolve().parent
    try:
        status = asyncio.run(_run(case, folder))
    except (Exception, asyncio.CancelledError) as error:  # the case has not been judged
        print(f"the case could not run: {error!r}")
        status = COULD_NOT_RUN
    sys.exit(status)
