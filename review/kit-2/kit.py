"""Stand-ins of the platform, of workers and of clients, and a small fleet of nodes on loopback.

Only the standard library is used. Everything speaks what PROTOCOL.md describes; times in the records
are seconds since the start of the script.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NODE_BINARY = os.path.join(ROOT, "target", "release", "almondsail-node")
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(f"{now():9.3f} {text}", flush=True)


TAKEN = set()


def free_port():
    """A port that nothing uses, below those that outgoing connections get."""
    while True:
        port = random.randrange(20_000, 32_000)
        if port in TAKEN:
            continue
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        TAKEN.add(port)
        return port


async def read_message(reader):
    """Reads one HTTP/1.1 message. Returns (first line, headers, body); None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def response(status, body=b"", headers=()):
    text = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 421: "Misdirected Request",
            500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    head = f"HTTP/1.1 {status} {text}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


def json_response(status, value):
    return response(status, json.dumps(value).encode(), [("Content-Type", "application/json")])


class Store:
    """The platform's metadata store: items, watches, leases and conditional writes."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.leases = {}
        self.revision = 100
        self.events = []
        self.changed = asyncio.Condition()
        self.is_silent = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.expirer = asyncio.create_task(self.expire())

    def set_silent(self, is_silent):
        """Lets the store answer nothing; what arrives meanwhile isn't done."""
        self.is_silent = is_silent
        self.record.say("the store is silent" if is_silent else "the store answers again")

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                if self.is_silent:
                    # A connection on which an answer is lost returns nothing further.
                    await asyncio.sleep(3600)
                writer.write(await self.answer(*message))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, _headers, body):
        await asyncio.sleep(0.004)
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path.removeprefix("/almondsail/")
        if path == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
            keys = [k for k in keys if k > query.get("after", "")]
            page = [self.item(k) for k in keys[:500]]
            return json_response(200, {"items": page, "has_more": len(keys) > 500, "as_of": self.revision})
        if path == "kv-key":
            key = query["key"]
            return json_response(200, dict(self.item(key), as_of=self.revision)) if key in self.items else response(404)
        if path == "kv-watch":
            return await self.watch(query)
        if path == "kv-txn":
            return await self.transact(json.loads(body))
        if path == "kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            lease = len(self.leases) + 7
            self.leases[lease] = [ttl, now() + ttl / 1e3]
            return json_response(200, {"lease": lease, "ttl_ms": ttl})
        if path.startswith("kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return response(404)
            lease[1] = now() + lease[0] / 1e3
            return json_response(200, {"ttl_ms": lease[0]})
        return response(404)

    async def watch(self, query):
        after, until = int(query["after"]), now() + int(query["wait_ms"]) / 1e3
        while True:
            events = [e for e in self.events if e["revision"] > after and e["key"].startswith(query["prefix"])]
            if events or now() >= until:
                return json_response(200, {"events": events, "as_of": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, until - now()))
                except asyncio.TimeoutError:
                    pass

    async def transact(self, txn):
        for row in txn.get("expect", []):
            current = self.items.get(row["key"], {"revision": 0})["revision"]
            if current != row["revision"]:
                items = [self.item(r["key"]) for r in txn["expect"] if r["key"] in self.items]
                return json_response(412, {"items": items})
        if any(put["lease"] and put["lease"] not in self.leases for put in txn.get("puts", [])):
            return response(404)
        await self.change(txn.get("puts", []), txn.get("remove", []))
        return json_response(200, {"revision": self.revision})

    async def change(self, puts, removed=()):
        self.revision += 1
        for put in puts:
            created = self.items.get(put["key"], {"created": self.revision})["created"]
            item = {"value": put["value"], "revision": self.revision, "created": created, "lease": put["lease"]}
            self.items[put["key"]] = item
            self.events.append(self.item(put["key"]))
            if put["key"].startswith("status/"):
                self.record.say(f"status {put['key']}: {base64.b64decode(put['value']).decode()}")
        for key in removed:
            if self.items.pop(key, None):
                self.events.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """A write of the operator."""
        text = json.dumps(value).encode()
        await self.change([{"key": key, "value": base64.b64encode(text).decode(), "lease": 0}])
        self.record.say(f"the store acknowledges {key} at revision {self.revision}")

    def item(self, key):
        return {"key": key, **self.items[key]}

    def status(self, service):
        item = self.items.get(f"status/rollout/{service}")
        return json.loads(base64.b64decode(item["value"])) if item else {}

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            if self.is_silent:
                # While the store is down, leases pause.
                for lease in self.leases.values():
                    lease[1] += 0.1
                continue
            ended = [lease for lease, (_, until) in self.leases.items() if until <= now()]
            for lease in ended:
                del self.leases[lease]
            keys = [key for key, item in self.items.items() if item["lease"] in ended]
            if keys:
                await self.change([], keys)


def config(version, services, routes, limits=None):
    """The operator's configuration. `routes` are (name, host, prefix, kind, service) with options."""
    resources = []
    for name, host, prefix, kind, service, options in routes:
        spec = {"host": host, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": 2000,
                "target_latency_ms": 500, "priority": 0, "max_attempts": 2, "public": False}
        resources.append({"type": "routes", "metadata": {"name": name}, "spec": {**spec, **options}})
    for service in services:
        spec = {"health_path": "/healthz", "max_connections": 130, "protocol": "h1", "tls": False}
        resources.append({"type": "services", "metadata": {"name": service}, "spec": spec})
    limits = limits or {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    resources.append({"type": "limits", "metadata": {}, "spec": limits})
    return {"version": f"{version:08x}", "resources": resources}


class Worker:
    """A sound worker. `fails` decides for each request whether it is answered with 500."""

    def __init__(self, record, identity, service, version="v1", run_s=0.02, capacity=12, fails=None):
        self.record, self.identity, self.service, self.version = record, identity, service, version
        self.run_s, self.capacity, self.fails = run_s, capacity, fails or (lambda: False)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.bad = []
        self.running = self.waiting = 0
        self.slots = asyncio.Semaphore(capacity)
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                writer.write(await self.answer(*message))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body):
        attempt = headers.get("almondsail-attempt-id", "")
        own = [("Almondsail-Attempt-Id", attempt)]
        if headers.get("almondsail-expected-instance", self.identity) != self.identity:
            return response(421, headers=own)
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                return await self.run(line, headers, body, attempt, own)
            finally:
                self.running -= 1

    async def run(self, line, headers, body, attempt, own):
        self.runs.append((now(), attempt))
        self.record.write(f"worker {self.identity} ({self.service} {self.version}) runs {attempt}: {line}"
                          f" caller {headers.get('almondsail-caller-service')}")
        await asyncio.sleep(self.run_s)
        own.append(("Almondsail-Instance-Load", f"{self.running},{self.waiting},{self.capacity}"))
        own.append(("Almondsail-Server-Signature", f"sig.{self.identity}.{attempt}"))
        if self.fails():
            self.bad.append(now())
            return response(500, b"failed", own)
        return response(200, f"{self.identity} {attempt}".encode() + body, own)

    def beat(self, state=None):
        """The body of the next heartbeat."""
        self.sequence += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": self.version, "zone": "zone-a",
                         "capacity": self.capacity},
                "status": {"state": state or self.state, "sequence": self.sequence, "cold_remaining_ms": 0}}

    async def send_beat(self, node, body):
        return await node.notice("PUT", self.identity, body)

    async def send_leave(self, node):
        return await node.notice("DELETE", self.identity, {"born": self.born})

    def beat_repeatedly(self, node, every_s=1.5):
        async def repeat():
            while True:
                await self.send_beat(node, self.beat())
                await asyncio.sleep(every_s)
        return asyncio.create_task(repeat())


class Node:
    """A node process with the settings that the deploy file's template makes."""

    def __init__(self, fleet, name, zone, worker):
        self.fleet, self.name, self.worker, self.process = fleet, name, worker, None
        ports = {use: free_port() for use in ("callers", "nodes", "ready", "announcements", "metrics")}
        self.addresses = {use: f"127.0.0.1:{port}" for use, port in ports.items()}
        settings = {"fleet": {
            "id": name, "data_centre": zone, "listen": self.addresses, "store": fleet.store.address,
            "backend": worker.address, "service": worker.service, "grace_s": 6,
            "retry_ratio": 0.2, "retry_allowance": 60, "retry_window_s": 10}}
        self.file = os.path.join(fleet.folder, f"{name}.json")
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            NODE_BINARY, self.file, cwd=self.fleet.folder, stdout=log, stderr=log)
        self.started = now()
        self.fleet.record.write(f"node {self.name} started, process {self.process.pid}")

    def kill(self):
        self.fleet.record.write(f"node {self.name} gets SIGKILL")
        self.process.send_signal(signal.SIGKILL)

    def stop(self):
        self.fleet.record.write(f"node {self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)

    async def restart(self):
        await self.process.wait()
        await self.start()

    async def exchange(self, use, text):
        host, port = self.addresses[use].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(text)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

    async def notice(self, method, identity, body):
        """Sends a heartbeat or a notice of leaving; returns the status, None without an answer."""
        text = json.dumps(body).encode()
        head = (f"{method} /almondsail/instances/{identity} HTTP/1.1\r\nHost: {self.addresses['announcements']}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n")
        try:
            answer = await asyncio.wait_for(self.exchange("announcements", head.encode() + text), 1.0)
        except (OSError, asyncio.TimeoutError):
            answer = None
        status = int(answer[0].split(" ")[1]) if answer else None
        state = body.get("status", {}).get("state", "leaves")
        self.fleet.record.write(f"{method} {identity} ({state}) to {self.name}: {status}")
        return status

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(self.exchange("ready", b"GET /almondsail/readyz HTTP/1.1\r\nHost: x\r\n\r\n"), 1.0)
            return bool(answer) and answer[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def request(self, attempt, host, path, method="GET", body=b"", deadline_ms=2000, headers=()):
        """Sends one client attempt; returns the status, or None if the connection ended."""
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nAlmondsail-Attempt-Id: {attempt}\r\n"
                f"Almondsail-Deadline-Ms: {deadline_ms}\r\n")
        for name, value in headers:
            head += f"{name}: {value}\r\n"
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        sent = now()
        try:
            answer = await asyncio.wait_for(
                self.exchange("callers", head.encode() + b"\r\n" + body), deadline_ms / 1e3 + 0.5)
        except (OSError, asyncio.TimeoutError):
            answer = None
        status = int(answer[0].split(" ")[1]) if answer else None
        self.fleet.record.write(f"client attempt {attempt} sent to {self.name} at {sent:.3f}: {status}")
        return status


class Fleet:
    """Nodes, each with a worker beside it, and the store."""

    def __init__(self, record):
        self.record, self.nodes = record, []
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.store = Store(record)

    def add(self, name, zone, worker):
        node = Node(self, name, zone, worker)
        self.nodes.append(node)
        return node

    async def wait_ready(self, nodes=None):
        for node in nodes or self.nodes:
            for _ in range(100):
                if await node.is_ready():
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{node.name} isn't ready")

    async def end(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case):
    """Runs `case(record, fleet, trouble)`, which returns whether the rule held. Exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        fleet = Fleet(record)
        try:
            await fleet.store.start()
            return await asyncio.wait_for(case(record, fleet, trouble), 110)
        finally:
            await fleet.end()

    try:
        held = asyncio.run(whole())
    except Exception as error:
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        raise SystemExit(2)
    record.say("the rule held" if held else "the rule is broken")
    raise SystemExit(0 if held else 1)
