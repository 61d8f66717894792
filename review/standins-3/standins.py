"""Stand-ins of the platform's store, the instances, the promotion call and callers.

They use the standard library only, listen on loopback and follow the published
protocol. A `Fleet` starts the project's own proxies with the command of the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MAX_LINE_BYTES = 1 << 20


_reservations = []


def free_ports(count):
    """Return `count` consecutive free TCP ports below the ephemeral range.

    The proxies use TCP only, so a UDP socket on each port keeps other scripts from it.
    """
    while True:
        first = random.randrange(20_000, 29_000)
        held = []
        try:
            for port in range(first, first + count):
                held.append(socket.socket(type=socket.SOCK_DGRAM))
                held[-1].bind((HOST, port))
                with socket.socket() as probe:
                    probe.bind((HOST, port))
        except OSError:
            for reservation in held:
                reservation.close()
            continue
        _reservations.extend(held)
        return list(range(first, first + count))


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, *words):
        """Write one line."""
        text = " ".join(str(word) for word in words)
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# Store


class Gate:
    """Address of the store for one machine, which the store may turn away.

    Calls that are under way while the machine is turned away get no response, and
    their connections return nothing further.
    """

    def __init__(self):
        self.address = ""
        self.turns_away = False
        self.outages = 0
        self.range_calls = 0

    def turn_away(self):
        """Answer no call from now on."""
        self.turns_away = True
        self.outages += 1

    def admit(self):
        """Answer new calls from now on."""
        self.turns_away = False


class Store:
    """Metadata store in memory, with revisions, conditional writes, watches, leases."""

    def __init__(self):
        self.items = {}  # key: (value, revision, created, lease)
        self.events = []
        self.revision = 100
        self.leases = {}  # id: (expires at, ttl)
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.address = ""
        self.answer_delay_s = 0.004

    async def start(self):
        """Listen at a first address and expire leases."""
        self.gate = await self.open_gate()
        self.address = self.gate.address
        self.tasks = [asyncio.create_task(self._expire())]

    async def open_gate(self):
        """Listen at a further address."""
        gate = Gate()

        async def serve(reader, writer):
            await self._serve(gate, reader, writer)

        server = await asyncio.start_server(serve, HOST, 0, limit=1 << 22)
        gate.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        return gate

    def put(self, key, value, lease=0):
        """Write a value in a change of its own."""
        self.revision += 1
        self._write(key, value, lease)

    def put_all(self, values):
        """Write several values in one change."""
        self.revision += 1
        for key, value in values.items():
            self._write(key, value, 0)

    def delete(self, key):
        """Remove a key if it exists."""
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def _write(self, key, value, lease):
        known = self.items.get(key)
        created = known[2] if known else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self._announce((self.revision, key, self.items[key]))

    def _remove(self, key):
        del self.items[key]
        self._announce((self.revision, key, None))

    def _announce(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (expires_at, _) in list(self.leases.items()):
                if expires_at <= now:
                    self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.delete(key)

    async def _serve(self, gate, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                outages = gate.outages
                request, *lines = head.split("\r\n")
                method, target, _ = request.split(" ", 2)
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                data = json.loads(body) if body else {}
                gate.range_calls += url.path == "/kv-range"
                if not gate.turns_away:
                    answered = await self._answer(method, url.path, query, data)
                    await asyncio.sleep(self.answer_delay_s)
                if gate.turns_away or gate.outages != outages:
                    while await reader.read(1 << 16):
                        pass
                    return
                status, answer = answered
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def _encode(self, key, item):
        value, revision, created, lease = item
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created_rev": created,
            "lease_id": lease,
        }

    async def _answer(self, method, path, query, data):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, self._encode(query["key"], item) | {"as_of": self.revision}
        if path == "/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(
                query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000
            )
        if path == "/kv-txn":
            return self._transact(data)
        if path == "/kv-lease":
            self.last_lease += 1
            ttl_s = data["ttl_ms"] / 1000
            self.leases[self.last_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease_id": self.last_lease, "ttl_ms": data["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        else:
            self.end_lease(lease)
        return 200, {}

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:500]
        return {
            "items": [self._encode(k, self.items[k]) for k in page],
            "more_pages": len(keys) > len(page),
            "as_of": self.revision,
        }

    async def _watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            found = [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass
        events = [
            {"key": key, "revision": revision, "removed": True}
            if item is None
            else self._encode(key, item)
            for revision, key, item in found
        ]
        return 200, {"events": events, "as_of": self.revision}

    def _transact(self, data):
        for row in data.get("precondition", []):
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                present = [
                    self._encode(r["key"], self.items[r["key"]])
                    for r in data["precondition"]
                    if r["key"] in self.items
                ]
                return 412, {"items": present}
        writes = data.get("writes", [])
        if any(w.get("lease_id") and w["lease_id"] not in self.leases for w in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            value = base64.b64decode(write["value"])
            self._write(write["key"], value, write.get("lease_id", 0))
        for key in data.get("deletes", []):
            if key in self.items:
                self._remove(key)
        return 200, {"revision": self.revision}


# Instances


class Rejected(Exception):
    """A statement that did not run."""


class Instance:
    """Database instance; its log is a list of (term, number, request id, writes)."""

    def __init__(self, group, zone, region):
        self.group = group
        self.id = f"i-{secrets.token_hex(5)}"
        self.zone, self.region = zone, region
        self.log = []
        self.term = 1
        self.is_primary = False
        self.held_term = 0
        self.alive = True
        self.state = "ready"
        self.born = round(time.time() * 1000)
        self.writers = set()
        self.slots = asyncio.Semaphore(group.slots)
        self.sequence = 0

    @property
    def position(self):
        """Term and number of the newest entry."""
        return self.log[-1][:2] if self.log else (1, 0)

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, HOST, 0, limit=MAX_LINE_BYTES * 2
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.public_port = self.port

    def crash(self):
        """Stop answering and close all connections."""
        self.alive = False
        for writer in list(self.writers):
            writer.transport.abort()

    def registration(self):
        """Return the entry in the store."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.group.name,
                "address": f"{HOST}:{self.public_port}",
                "zone": self.zone,
                "version": "1",
                "slots": self.group.slots,
                "state": self.state,
                "warmup_left_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
                "db_role": "primary" if self.is_primary else "replica",
            }
        ).encode()

    async def _serve(self, reader, writer):
        if not self.alive:
            writer.transport.abort()
            return
        self.writers.add(writer)
        session = {"T": False, "E": False, "ro": False, "writes": [], "v": {}, "p": {}}
        try:
            line = await self._line(reader)
            _, service, _, *expected = line.split(" ")
            if service != self.group.name or expected not in ([], [self.id]):
                writer.write(f"ERROR WRONGNODE {self.id}\r\n".encode())
                return
            if len(self.writers) > self.group.max_conns:
                writer.write(f"ERROR CONNLIMIT {self.id}\r\n".encode())
                return
            writer.write(f"READY I {self._token()}\r\n".encode())
            while self.alive:
                await self._query(await self._line(reader), session, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _line(self, reader):
        return (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")

    def _token(self):
        return "{}.{}".format(*self.position)

    async def _query(self, line, session, writer):
        _, request, text = line.split(" ", 2)
        try:
            rows, signature = await self._run(session, request, text)
            lines = [f"DATAROW {row}" for row in rows] + [f"COMPLETE {signature}"]
        except Rejected as error:
            session["E"] = session["T"]
            lines = [f"ERROR {error}"]
        state = "E" if session["E"] else "T" if session["T"] else "I"
        lines.append(f"READY {state} {self._token()}")
        if not self.alive:
            raise OSError
        writer.write("".join(f"{one}\r\n" for one in lines).encode("latin-1"))
        await writer.drain()

    async def _run(self, session, request, text):
        word, _, rest = text.partition(" ")
        if word == "SET":
            name, value = rest.split(" ", 1)
            session["v"][name] = value
            return [], "-"
        if word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            session["p"][name] = (access, shape)
            return [], "-"
        if word == "DEALLOCATE":
            session["p"].pop(rest, None)
            return [], "-"
        if word == "RESET":
            session["v"], session["p"] = {}, {}
            return [], "-"
        if word == "PAUSE":
            self.held_term = max(self.held_term, int(rest))
        if word == "RESUME":
            self.held_term = 0
        if word == "STEPDOWN" and self.is_primary and int(rest) > self.term:
            self.is_primary = False
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            role = "primary" if self.is_primary else "replica"
            token = self._token()
            return [f"{role} {self.term} {token} {self.held_term} 0 0 1"], "-"
        if word == "ROLLBACK":
            session.update(T=False, E=False, writes=[])
            return [], "-"
        if session["E"]:
            raise Rejected("MALFORMED failed transaction")
        async with self.slots:
            await asyncio.sleep(random.expovariate(1 / self.group.work_s))
            return await self._execute(session, request, text)

    async def _execute(self, session, request, text):
        if text.startswith("SINCE "):
            _, since, text = text.split(" ", 2)
            if tuple(int(part) for part in since.split(".")) > self.position:
                raise Rejected(f"LAGGING {self.id}")
        word, _, rest = text.partition(" ")
        if word == "BEGIN":
            if not self.is_primary and rest != "READ":
                raise Rejected(f"READONLY {self.id}")
            session.update(T=True, ro=rest == "READ", writes=[], term=self.term)
            return [], "-"
        lost = not self.is_primary or session.get("term") != self.term
        wrote_nothing = word == "COMMIT" and not session["writes"]
        if session["T"] and not session["ro"] and lost and not wrote_nothing:
            raise Rejected(f"READONLY {self.id}")
        if word == "COMMIT":
            if session["writes"]:
                await self._append(request, session["writes"])
            session.update(T=False, writes=[])
            return self._sign(request, "COMMIT", [])
        if word == "EXECUTE":
            name, rest = rest.split(" ", 1)
            if name not in session["p"]:
                raise Rejected(f"NOSUCHSTMT {name}")
            word = session["p"][name][0]
        if word == "READ":
            return self._sign(request, text, [self.value(rest)])
        if word != "WRITE":
            raise Rejected("MALFORMED statement")
        if not self.is_primary or (session["T"] and session["ro"]):
            raise Rejected(f"READONLY {self.id}")
        item, data = rest.split(" ", 1)
        if session["T"]:
            session["writes"].append((item, data))
        else:
            await self._append(request, [(item, data)])
        return self._sign(request, text, [])

    def _sign(self, request, text, rows):
        signature = secrets.token_hex(8)
        self.group.ran(self, request, text, self.position, signature)
        return rows, signature

    async def _append(self, request, writes):
        entry = (self.term, self.position[1] + 1, request, tuple(writes))
        self.log.append(entry)
        while self.group.sync and not self.group.is_received(self, entry):
            if not (self.alive and self.is_primary):
                raise OSError
            await asyncio.sleep(0.002)

    def value(self, item):
        """Return the newest value of an item."""
        for *_, writes in reversed(self.log):
            for key, data in reversed(writes):
                if key == item:
                    return data
        return "-"


class Group:
    """Replication group with its promotion call."""

    def __init__(self, name, places, record, sync=1, slots=5, max_conns=64):
        self.name, self.sync, self.slots = name, sync, slots
        self.max_conns = max_conns
        self.work_s = 0.004
        self.record = record
        self.promotions = []
        self.runs = []
        self.instances = [Instance(self, zone, region) for region, zone in places]
        self.instances[0].is_primary = True
        self.term = 1
        self.address = ""

    async def start(self):
        """Listen and replicate."""
        for instance in self.instances:
            await instance.start()
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        self.task = asyncio.create_task(self._replicate())

    def ran(self, instance, request, text, position, signature):
        """Note a statement that ran."""
        run = (self.record.now(), instance.id, request, text, position, signature)
        self.runs.append(run)
        self.record.write("ran", instance.id, request, text, position, signature)

    def leader(self):
        """Return the primary of the newest term."""
        return max(
            (i for i in self.instances if i.is_primary),
            key=lambda i: i.term,
            default=None,
        )

    def is_received(self, primary, entry):
        """Return whether a running replica has an entry."""
        return any(
            entry in i.log[-200:]
            for i in self.instances
            if i is not primary and i.alive
        )

    async def _replicate(self):
        while True:
            await asyncio.sleep(0.005)
            leader = self.leader()
            for replica in self.instances:
                if leader is None or replica is leader or not leader.alive:
                    continue
                if not replica.alive or replica.held_term > leader.term:
                    continue
                if replica.is_primary and replica.term < leader.term:
                    replica.is_primary = False
                if replica.term < leader.term:
                    replica.term = leader.term
                    common = 0
                    for own, other in zip(replica.log, leader.log, strict=False):
                        if own != other:
                            break
                        common += 1
                    del replica.log[common:]
                replica.log.extend(leader.log[len(replica.log) :])

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")[1:]
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size))
                token = int(headers["rosemaryward-fencing-token"])
                holder = headers["rosemaryward-lease-holder"]
                self.promotions.append((self.record.now(), holder, token, body["id"]))
                self.record.write("promotion", holder, token, body["id"])
                status = 200 if await self._promote(body["id"]) else 409
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _promote(self, name):
        instance = next((i for i in self.instances if i.id == name), None)
        if instance is None or not instance.alive:
            return False
        if instance is self.leader():
            return True
        await asyncio.sleep(0.3)
        if not instance.alive:
            return False
        self.term = max(i.term for i in self.instances) + 1
        instance.term, instance.is_primary, instance.held_term = self.term, True, 0
        self.record.write("promoted", name, "term", self.term, instance.position)
        return True


async def keep_registered(store, groups, interval_s=0.4, absent_s=3.6):
    """Keep the entries of the instances in the store up to date."""
    written, last_alive = {}, {}
    while True:
        for instance in (i for g in groups for i in g.instances):
            key = f"servers/{instance.id}"
            now = time.monotonic()
            if instance.alive:
                last_alive[key] = now
                mark = (instance.state, instance.is_primary, instance.born)
                since, known = written.get(key, (0.0, None))
                if known != mark or now - since > 1.2:
                    written[key] = (now, mark)
                    store.put(key, instance.registration())
            elif now - last_alive.get(key, now) > absent_s and key in store.items:
                store.delete(key)
                written.pop(key, None)
        await asyncio.sleep(interval_s / 4)


# Proxies


class Proxy:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, name, zone, region, folder, zones):
        self.name, self.zone, self.region, self.zones = name, zone, region, zones
        self.folder = folder
        self.ports = free_ports(18)
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process = None

    @property
    def address(self):
        """Address for callers."""
        return HOST, self.ports[0]

    def write_settings(self, store_address, cloud_address, bootstrap=True, grace_s=6):
        """Write the settings file."""
        front, ready, first, last = self.ports[0], self.ports[1], 2, 17
        self.settings.write_text(
            json.dumps(
                {
                    "node_name": self.name,
                    "role": "proxy",
                    "machine_class": "frontend",
                    "serves": ["frontend"],
                    "ip": HOST,
                    "zone": self.zone,
                    "region": self.region,
                    "zones": self.zones,
                    "listen": {"front": f"{HOST}:{front}", "ready": f"{HOST}:{ready}"},
                    "internal_ports": [self.ports[first], self.ports[last]],
                    "seeds": [],
                    "bootstrap": bootstrap,
                    "limits": {
                        "cpu_share": 0.537,
                        "cores": 2,
                        "memory_mb": 300,
                        "max_fds": 4300,
                        "link_mbps": 1000.0,
                        "disk_mb": 0,
                    },
                    "data_dir": None,
                    "heartbeat_ms": 1200,
                    "bounds": {
                        "stable_ms": 4000,
                        "drain_ms": 7000,
                        "grace_s": grace_s,
                        "config_apply_ms": 3000,
                    },
                    "platform": {
                        "address": store_address,
                        "form": "kv",
                        "writes_per_s": 400,
                        "reads_per_s": 2000,
                        "history_s": 20,
                        "value_bytes": 1048576,
                        "min_ttl_ms": 1000,
                    },
                    "cloud_api": {
                        "address": cloud_address,
                        "rate_per_s": 50.0,
                        "duties": ["failover"],
                        "duty_per_s": 50.0,
                    },
                }
            )
        )

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["proxy"]["run"])
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ROSEMARYWARD_BOOT"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Return whether the readiness check is answered with 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, self.ports[1]), 1.0
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            answer = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in answer
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


class Fleet:
    """Proxies with their store and groups, in a temporary folder."""

    def __init__(self, record, places, proxies):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.groups = []
        zones = {zone: region for region, zone in places}
        self.proxies = [
            Proxy(f"frontend-{zone}-{n}", zone, region, self.folder, zones)
            for n, (region, zone) in enumerate(
                itertools.islice(itertools.cycle(places), proxies)
            )
        ]
        self.version = 0

    def write_config(self, routes, **limits):
        """Write the next version; routes are (database, service, type, options)."""
        self.version += random.randrange(1, 4)
        config = {
            "version": self.version,
            "routes": [
                {
                    "database": database,
                    "service": service,
                    "route_type": kind,
                    "timeout_ms": options.get("timeout_ms", 1000),
                    "target_latency_ms": options.get("target_latency_ms", 500),
                    "priority": options.get("priority", 0),
                    "max_staleness_ms": options.get("max_staleness_ms", 0),
                }
                for database, service, kind, options in routes
            ],
            "services": [
                {"name": g.name, "max_conns": g.max_conns, "sync_replicas": g.sync}
                for g in self.groups
            ],
            "limits": {"tx_idle_ms": 3000} | limits,
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record.write("config", self.version, [r[0] for r in routes])

    async def wait_ready(self, timeout_s=25.0):
        """Wait until all proxies are ready; return whether they are."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all([await proxy.is_ready() for proxy in self.proxies]):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        """End all processes that were started."""
        for proxy in self.proxies:
            proxy.kill()


# Callers


class Lost(Exception):
    """No complete answer arrived."""


class Caller:
    """Session of a caller."""

    def __init__(self, address, database, record):
        self.address, self.database, self.record = address, database, record

    async def open(self, timeout_s=2.0):
        """Connect; return the first line of the answer."""
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(*self.address, limit=MAX_LINE_BYTES * 2),
                timeout_s,
            )
            self.writer.write(f"STARTUP {self.database} u{secrets.token_hex(3)}\r\n".encode())
            line = await asyncio.wait_for(self.reader.readline(), timeout_s)
        except (OSError, TimeoutError) as error:
            raise Lost(repr(error)) from error
        return line.decode("latin-1").rstrip("\r\n")

    async def query(self, text, timeout_s=5.0):
        """Run a statement; return its code, rows, signature and state."""
        request = secrets.token_hex(8)
        rows, code, signature = [], "", ""
        self.record.write("sent", self.address[1], self.database, request, text[:80])
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
            async with asyncio.timeout(timeout_s):
                while True:
                    line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                    word, _, rest = line.partition(" ")
                    if word == "DATAROW":
                        rows.append(rest)
                    elif word == "COMPLETE":
                        signature = rest
                    elif word == "ERROR":
                        code = rest
                    elif word == "READY":
                        self.record.write("answer", request, code or "ok", rows, signature)
                        return code, rows, signature, rest.split(" ")[0], request
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write("no answer", request, repr(error))
            raise Lost(request) from error

    def close(self):
        """Close the connection."""
        if hasattr(self, "writer"):
            self.writer.close()


def report(broken, text):
    """Print the result and return the exit code."""
    print(("BROKEN: " if broken else "held: ") + text)
    return 1 if broken else 0


def main(check):
    """Run a check, a coroutine function that takes whether to make trouble."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the fleet is stopped first
    try:
        sys.exit(asyncio.run(check(trouble)))
    except Exception as error:
        print(f"could not run: {error!r}")
        raise SystemExit(2) from error
