"""Stand-ins for the scripts of the third review: the platform's store, one worker, and a client.

They use only the standard library and listen on loopback addresses. The store keeps to the section
"The platform's metadata store" of PROTOCOL.md; the worker to "Workers" and "Service discovery".
"""

import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
NODE = os.path.join(ROOT, "target", "release", "almondsail-node")
START = time.monotonic()
LIMIT_S = 110


class CannotRun(Exception):
    """The case can't be carried out on this machine."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - START:8.3f} {text}\n")
            self._file.flush()


def free_ports(count, host="127.0.0.1"):
    """Returns ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def read_head(stream):
    """Reads the head of a message. Returns its first line and headers; None at the end."""
    first = stream.readline(65536)
    if not first:
        return None
    headers = []
    while True:
        line = stream.readline(65536)
        if line in (b"\r\n", b"\n"):
            return first.decode("latin-1").rstrip("\r\n"), headers
        if not line:
            return None
        name, _, value = line.decode("latin-1").rstrip("\r\n").partition(":")
        headers.append((name.strip().lower(), value.strip()))


def header(headers, name):
    return next((value for key, value in headers if key == name), None)


def read_body(stream, headers):
    if (header(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            if size == 0:
                while stream.readline() not in (b"\r\n", b"\n", b""):
                    pass
                return body
            body += stream.read(size)
            stream.readline()
    length = int(header(headers, "content-length") or 0)
    return stream.read(length) if length else b""


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections and serves each on a thread of its own."""

    def __init__(self, address):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(256)
        self.address = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            self.serve(conn)
        except (OSError, ValueError):
            pass
        finally:
            conn.close()

    def serve(self, conn):
        raise NotImplementedError


class Store(Server):
    """The platform's store."""

    def __init__(self, address=("127.0.0.1", 0)):
        self.changed = threading.Condition()
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        super().__init__(address)
        threading.Thread(target=self._expire, daemon=True).start()

    def operator_put(self, key, value):
        with self.changed:
            self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
            self.changed.notify_all()

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created,
                "lease": lease}
        self.items[key] = item
        self.history.append(dict(item))

    def _remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)

    def _expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [one for one, (_, end) in self.leases.items() if end < now]:
                    self._end_lease(lease)
                self.changed.notify_all()

    def serve(self, conn):
        stream = conn.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            first, headers = head
            method, target, _ = first.split(" ")
            body = read_body(stream, headers)
            status, reply = self.answer(method, target, body)
            conn.sendall(response(status, [("Content-Type", "application/json")],
                                  json.dumps(reply).encode()))

    def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path.removeprefix("/almondsail/")
        if path == "kv-watch":
            return self._watch(query)
        with self.changed:
            if path == "kv-range":
                keys = sorted(key for key in self.items
                              if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
                return "200 OK", {"items": [self.items[key] for key in keys[:500]],
                                  "has_more": len(keys) > 500, "as_of": self.revision}
            if path == "kv-key":
                item = self.items.get(query.get("key"))
                return ("200 OK", {**item, "as_of": self.revision}) if item else ("404 Not Found", {})
            if path == "kv-lease":
                ttl = min(max(json.loads(body)["ttl_ms"], 1000), 600_000)
                lease = 77_000 + self.revision * 1000 + len(self.leases)
                while lease in self.leases:
                    lease += 1
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return "200 OK", {"lease": lease, "ttl_ms": ttl}
            if path.startswith("kv-keep/"):
                lease = int(path.split("/")[1])
                if lease not in self.leases:
                    return "404 Not Found", {}
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return "200 OK", {"ttl_ms": ttl}
            if path.startswith("kv-lease-end/"):
                self._end_lease(int(path.split("/")[1]))
                self.changed.notify_all()
                return "200 OK", {}
            if path == "kv-txn":
                return self._write(json.loads(body))
        return "404 Not Found", {}

    def _write(self, entry):
        expect = entry.get("expect") or []
        current = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(current(row["key"]) != row["revision"] for row in expect):
            rows = [self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in expect]
            return "412 Precondition Failed", {"items": rows}
        puts = entry.get("puts") or []
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return "404 Not Found", {}
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease") or 0)
        for key in entry.get("remove") or []:
            self._remove(key)
        self.changed.notify_all()
        return "200 OK", {"revision": self.revision}

    def _watch(self, query):
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        prefix, after = query.get("prefix", ""), int(query["after"])
        with self.changed:
            while True:
                events = [event for event in self.history
                          if event["revision"] > after and event["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return "200 OK", {"events": events, "as_of": self.revision}
                self.changed.wait(left)


class Node:
    """A node of the project, started with the command of the deploy file."""

    def __init__(self, folder, host, store, backend, service, name, record):
        self.host, self.name, self.record = host, name, record
        ports = free_ports(5, host)
        addresses = [f"{host}:{port}" for port in ports]
        self.callers, self.nodes, self.ready, self.announcements = [(host, p) for p in ports[:4]]
        settings = {"fleet": {
            "id": name, "data_centre": "zone-a",
            "listen": {"callers": addresses[0], "nodes": addresses[1], "ready": addresses[2],
                       "announcements": addresses[3], "metrics": addresses[4]},
            "store": f"{store[0]}:{store[1]}", "backend": f"{backend[0]}:{backend[1]}",
            "service": service, "grace_s": 6, "retry_ratio": 0.2, "retry_allowance": 64,
            "retry_window_s": 10}}
        self.file = os.path.join(folder, f"{name}.json")
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, f"{name}.log"), "wb")
        self.process = None

    def start(self):
        if not os.path.exists(NODE):
            raise CannotRun("target/release/almondsail-node isn't built")
        env = {**os.environ, "ALMONDSAIL_NODE_FILE": self.file}
        self.process = subprocess.Popen([NODE, self.file], env=env, cwd=ROOT, stdout=self.log,
                                        stderr=subprocess.STDOUT)
        self.record.write(f"{self.name} started")

    def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                if call(self.ready, "GET", "/almondsail/readyz", timeout=1)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun(f"{self.name} didn't become ready")

    def end(self, how=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(how)
            self.process.wait(20)


def call(address, method, path, headers=(), body=b"", timeout=5.0):
    """Sends one request on a connection of its own. Returns status, headers and body."""
    with socket.create_connection(address, timeout=timeout) as conn:
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append("Host: node")
        if body or method not in ("GET", "DELETE"):
            lines.append(f"Content-Length: {len(body)}")
        conn.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        stream = conn.makefile("rb")
        head = read_head(stream)
        if head is None:
            raise OSError("closed without an answer")
        first, answered = head
        return int(first.split(" ")[1]), answered, read_body(stream, answered)


def config(version, services, routes):
    """The operator's configuration. `routes`: rows of name, host, prefix, kind, service and more."""
    resources = []
    for name, host, prefix, kind, service, more in routes:
        spec = {"host": host, "prefix": prefix, "kind": kind, "timeout_ms": 1000,
                "target_latency_ms": 250, "priority": 1, "service": service, "max_attempts": 2}
        spec.update(more)
        resources.append({"type": "routes", "metadata": {"name": name}, "spec": spec})
    for name in services:
        spec = {"health_path": "/healthz", "max_connections": 120, "protocol": "h1", "tls": False}
        resources.append({"type": "services", "metadata": {"name": name}, "spec": spec})
    resources.append({"type": "limits", "metadata": {}, "spec": {
        "max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000}})
    return {"version": f"{version:08x}", "resources": resources}




def run_case(folder, case):
    """Runs `case(record, folder, trouble)` in a temporary folder; exits as the scripts have to."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    processes = []
    code = 2

    def give_up(*_):
        record.write("ended from outside or after the time limit")
        for node in processes:
            node.end()
        shutil.rmtree(temporary, ignore_errors=True)
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(LIMIT_S)
    try:
        record.write(f"TROUBLE={int(trouble)}")
        code = case(record, temporary, trouble, processes)
    except Exception as problem:  # an error of the script is no broken rule
        record.write(f"can't run: {problem!r}")
    finally:
        for node in processes:
            node.end()
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
        record.write(f"exit {code}")
    os._exit(code)
