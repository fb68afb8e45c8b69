"""A leaving is acknowledged while the store is down, all nodes are killed, and nobody remembers it."""

import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-3"))
from kit3 import (CannotRun, Node, Server, Store, call, config, header, read_body, read_head,
                  response, run_case)

SERVICE = "huvo11a"
FRONT = "lovo22d"
BEAT_S = 1.5        # heartbeat_ms of the site file
DRAIN_S = 2.0       # bounds of the site file
CONTACT_S = 3.0
OUTAGE_S = 4.5      # for_s of the site file's platform_down (how = "busy lapse")
RESTART_S = 0.5     # a process that is killed is restarted "after a short delay"


class FlakyStore(Store):
    """The store, which answers 503 while it is down ("nothing was done")."""

    down = False

    def answer(self, method, target, body):
        if self.down:
            return "503 Service Unavailable", {}
        return super().answer(method, target, body)

    def _watch(self, query):
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if self.down:  # a watch that is waiting may be cut
                raise ValueError("the store is down")
            left = end - time.monotonic()
            part = {**query, "wait_ms": str(int(max(0.0, min(left, 0.1)) * 1000))}
            status, reply = super()._watch(part)
            if reply.get("events") or left <= 0.1:
                return status, reply


class Worker(Server):
    """A worker that sends DELETE first when it leaves, and serves on for a while."""

    def __init__(self, host, number, service, record):
        self.id = f"i-{number:08x}"
        self.service, self.record = service, record
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beating = True
        self.runs = []
        super().__init__((host, 0))

    def serve(self, conn):
        stream = conn.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            first, headers = head
            read_body(stream, headers)
            if " /healthz " in first:
                conn.sendall(response("200 OK", [("Almondsail-Instance-Id", self.id)]))
                continue
            if header(headers, "almondsail-expected-instance") not in (None, self.id):
                conn.sendall(response("421 Misdirected Request",
                                      [("Almondsail-Instance-Id", self.id)]))
                continue
            attempt = header(headers, "almondsail-attempt-id") or "-"
            self.runs.append((time.monotonic(), attempt))
            self.record.write(f"{self.id} runs {attempt}")
            time.sleep(0.02)
            conn.sendall(response("200 OK", [("Almondsail-Attempt-Id", attempt),
                                             ("Almondsail-Server-Signature", f"s.{self.id}")], b"ok"))

    def heartbeat(self):
        """Returns the next heartbeat, to be sent now or to arrive late."""
        self.sequence += 1
        return json.dumps({
            "address": f"{self.address[0]}:{self.address[1]}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "zone-a", "capacity": 12},
            "status": {"state": "ready", "sequence": self.sequence,
                       "cold_remaining_ms": 0}}).encode()

    def send(self, node, beat, note=""):
        sequence = json.loads(beat)["status"]["sequence"]
        try:
            status = call(node.announcements, "PUT", f"/almondsail/instances/{self.id}",
                          [("Content-Type", "application/json")], beat, 1)[0]
        except OSError as problem:
            status = type(problem).__name__
        self.record.write(f"{self.id} heartbeat {sequence}{note}: {status}")
        return status

    def announce(self, node):
        def run():
            while self.beating:
                self.send(node, self.heartbeat())
                time.sleep(BEAT_S)
        threading.Thread(target=run, daemon=True).start()


def case(record, folder, trouble, processes):
    store = FlakyStore()
    route = ("r-1", "hulo84.example", "/leny950/", "safe", SERVICE, {})
    store.operator_put("op/config", config(1, [SERVICE, FRONT], [route]))
    machines = []
    for number, service in enumerate((FRONT, SERVICE, SERVICE), 1):
        host = f"127.0.0.{number + 10}"
        worker = Worker(host, number, service, record)
        node = Node(folder, host, store.address, worker.address, service, f"side-{number}", record)
        processes.append(node)
        node.start()
        machines.append((node, worker))
    for node, worker in machines:
        node.wait_ready()
    time.sleep(4)
    for _, worker in machines:  # they start after their nodes
        worker.born = int(time.time() * 1000)
    (front, front_worker), (node, leaving), (other, staying) = machines
    front_worker.announce(front)
    staying.announce(other)
    for _ in range(3):
        if leaving.send(node, leaving.heartbeat()) != 200:
            raise CannotRun("a heartbeat wasn't acknowledged")
        time.sleep(BEAT_S)

    stop = threading.Event()
    answers = {}

    def client():
        count = 0
        while not stop.is_set():
            count += 1
            attempt = f"{count:016x}"
            try:
                result = call(front.callers, "GET", "/leny950/2f",
                              [("Host", "hulo84.example"), ("Almondsail-Attempt-Id", attempt),
                               ("Almondsail-Deadline-Ms", "500")], timeout=2)[0]
            except OSError as problem:
                result = type(problem).__name__
            answers[result] = answers.get(result, 0) + 1
            record.write(f"client {attempt}: {result}")
            stop.wait(0.03)

    threading.Thread(target=client, daemon=True).start()
    # Two heartbeats are under way and will arrive seconds late. Then the worker leaves.
    late = [leaving.heartbeat()]
    time.sleep(BEAT_S)
    late.append(leaving.heartbeat())
    time.sleep(0.5)
    store.down = trouble
    record.write(f"the store is {'down' if trouble else 'up'}")
    down_since = time.monotonic()
    time.sleep(0.3)
    status = call(node.announcements, "DELETE", f"/almondsail/instances/{leaving.id}",
                  [("Content-Type", "application/json")],
                  json.dumps({"born": leaving.born}).encode(), 1)[0]
    acknowledged = time.monotonic()
    record.write(f"{leaving.id} leaves: {status}")
    if status != 200:
        raise CannotRun("the leaving wasn't acknowledged")
    time.sleep(0.5)
    if trouble:
        for one, _ in machines:
            one.end()
        record.write("all nodes are killed")
        time.sleep(RESTART_S)
        for one, _ in machines:
            one.start()
    time.sleep(max(0.0, down_since + OUTAGE_S - time.monotonic()))
    store.down = False
    undisturbed = time.monotonic()
    record.write("the store is up")
    time.sleep(0.5)
    for beat in late:
        leaving.send(node, beat, " arrives late")
        time.sleep(0.8)
    time.sleep(10)
    stop.set()
    time.sleep(1)
    bound = max(acknowledged + DRAIN_S, undisturbed + CONTACT_S if trouble else 0.0)
    wrong = [at for at, _ in leaving.runs if at > bound]
    served = sum(at > bound for at, _ in staying.runs)
    last = max((at for at, _ in leaving.runs), default=acknowledged) - acknowledged
    text = (f"{len(wrong)} requests reached {leaving.id} later than drain_ms, at machines in touch; the "
            f"last one {last:.2f} s after the acknowledgement ({served} reached the other worker)")
    record.write(f"answers of clients: {answers}")
    record.write(text)
    print(text, answers)
    return 1 if wrong else 0


run_case(os.path.dirname(os.path.abspath(__file__)), case)
